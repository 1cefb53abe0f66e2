#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Adds the run to the reservations of its worker, or removes it.
void reserve(State&, const RunRef&, const WorkerId&);
void unreserve(State&, const RunRef&, const WorkerId&);

} // namespace kingcuploom::scheduler
