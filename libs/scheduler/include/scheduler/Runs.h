#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Adds the run to the reservations of its worker, or removes it.
void reserve(State&, const RunRef&, const WorkerId&);
void unreserve(State&, const RunRef&, const WorkerId&);

// Removes a run that certainly no longer exists, so that its task may start elsewhere.
void releaseRun(State&, const RunRef&, MonotonicTime now);

// Emits a stop order for the run. A run whose start was never sent is released at once.
void stopRun(State&, const RunRef&, StopReason, MonotonicTime now, Orders&);
void stopJobRuns(State&, const Job&, StopReason, MonotonicTime now, Orders&);

void onStartResult(State&, const RunRef&, StartResult, MonotonicTime now, Orders&);
void onStopResult(State&, const RunRef&, StopResult, MonotonicTime now);
void onEnd(State&, Worker&, const ListedEnd&, MonotonicTime now, std::int64_t wallMs, Orders&);

// Advances the acknowledgement cursor past the ends whose effects are committed.
void advanceEndCursor(State&, Worker&);

// Lets the runs that the commit has recorded be started.
void onCommitted(State&, const GraphJobId&, ProgressVersion, Revision recordRevision);

// Emits the start orders of the recorded runs, unless the view of workers is stale. Runs without a valid permit wait for a new one.
void sendRecordedStarts(State&, MonotonicTime now, Orders&);

// Resends unanswered orders, and releases runs whose lease has certainly expired.
void checkRuns(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
