#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Removes a run that certainly no longer exists, so that its task may start elsewhere.
void releaseRun(State&, const RunRef&, MonotonicTime now);

// Emits a stop order for the run. A run whose start was never sent is released at once.
void stopRun(State&, const RunRef&, StopReason, MonotonicTime now, Orders&);
void stopJobRuns(State&, const Job&, StopReason, MonotonicTime now, Orders&);
// Sends the stop order of a run in phase Stopping again.
void resendStop(const RunRef&, Run&, MonotonicTime now, Orders&);
void onStopResult(State&, const RunRef&, StopResult, MonotonicTime now, Orders&);

// Reports that starts of the run have no answer, so that an incarnation of the worker may still carry them out.
void reportOpenStarts(const RunRef&, const Run&, const char* reason, MonotonicTime now, Orders&);

// Lets the next leader know soon that all starts of a run of the task were answered, if its record is not about to change anyway.
void storeAnsweredStarts(State&, Job&, const TaskRef&, MonotonicTime now);

// Resends unanswered orders, and releases runs whose lease has certainly expired.
void checkRuns(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
