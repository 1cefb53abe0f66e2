#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Places waiting tasks on workers, in the order of priority and of the time left. A placed run waits for the commit that records it.
void placeWaitingTasks(State&, MonotonicTime now, Orders&);

// Starts copies of speculative tasks whose run is late, or on a worker that does not answer.
void placeSpeculativeCopies(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
