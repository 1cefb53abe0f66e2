#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Places waiting tasks on workers in order of urgency. A placed run starts only after the commit that records it.
void placeWaitingTasks(State&, MonotonicTime now, Orders&);

// Places a second run of speculative tasks whose only run is late or is on a worker that does not answer.
void placeSpeculativeCopies(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
