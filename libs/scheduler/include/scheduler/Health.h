#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Updates the worker's health after a run has ended. A worker on which tasks of several jobs fail is quarantined; afterwards it is on
// probation until a task succeeds.
void recordRunEnd(State&, Worker&, const Job&, const Task&, const Run&, EndKind, MonotonicTime now, Orders&);

// Updates the worker's health after a run on it made no progress.
void recordStall(State&, Worker&, const RunRef&, MonotonicTime now, Orders&);

// Updates the worker's health after it did not accept the start of a run, although it answers polls.
void recordUnacceptedStart(State&, Worker&, MonotonicTime now, Orders&);

// Lets other workers be preferred for the task.
void preferOtherWorkers(Task&, const WorkerId&);

// Returns true if the health of the worker allows a new task on it.
bool isHealthy(const Worker&, MonotonicTime now);

// Stops runs that make no progress.
void checkProgress(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
