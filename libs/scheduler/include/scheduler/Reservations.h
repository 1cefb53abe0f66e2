#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Adds the run to the reservations of its worker, or removes it.
void reserve(State&, const RunRef&, const WorkerId&);
void unreserve(State&, const RunRef&, const WorkerId&);

// Returns false if the runs reserve more than the worker has, because its capacity has shrunk since their placement.
bool fitsCapacity(const Worker&);

} // namespace kingcuploom::scheduler
