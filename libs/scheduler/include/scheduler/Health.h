#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Judges workers by the outcomes of runs: a worker on which tasks of several jobs fail is quarantined and probed with one task at a time.
void recordRunEnd(State&, Worker&, const Job&, const Task&, const Run&, EndKind, MonotonicTime now, Orders&);

// The run made no progress on the worker.
void recordStall(State&, Worker&, const RunRef&, MonotonicTime now, Orders&);

// May take a new task, as far as its health is concerned.
bool isHealthy(const Worker&, MonotonicTime now);

// Stops runs that make no progress.
void checkProgress(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
