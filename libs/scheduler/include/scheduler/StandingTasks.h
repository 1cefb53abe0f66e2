#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Reports once a second each standing task that no worker has executed for 2 s, with what holds it, and each one that is executed again
// after such a time. Emits decisions only.
void checkStandingTasks(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
