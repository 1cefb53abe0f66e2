#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Counts the run into what its worker has reserved, or out of it.
void reserve(State&, const RunRef&, const WorkerId&);
void unreserve(State&, const RunRef&, const WorkerId&);

// The run surely does not exist any more; the task may start elsewhere.
void releaseRun(State&, const RunRef&, MonotonicTime now);

// Orders the stop of a run. A run that no order has left for is released at once.
void stopRun(State&, const RunRef&, StopReason, MonotonicTime now, Orders&);
void stopJobRuns(State&, const Job&, StopReason, MonotonicTime now, Orders&);

void onStartResult(State&, const RunRef&, StartResult, MonotonicTime now, Orders&);
void onStopResult(State&, const RunRef&, StopResult, MonotonicTime now);
void onEnd(State&, Worker&, const ListedEnd&, MonotonicTime now, std::int64_t wallMs, Orders&);

// Moves the cursor of ends past those whose consequences are stored.
void advanceEndCursor(State&, Worker&);

// Sends the starts that the commit has recorded.
void onCommitted(State&, const GraphJobId&, ProgressVersion, Revision recordRevision, MonotonicTime now, Orders&);

// Repeats orders without an answer, and releases runs whose lease has ended for sure.
void checkRuns(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
