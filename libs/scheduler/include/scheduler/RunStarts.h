#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Lets the runs that the commit has recorded be started.
void onCommitted(State&, const GraphJobId&, ProgressVersion, Revision recordRevision);

// Emits the start orders of the recorded runs, unless the view of workers is stale. Runs without a valid permit wait for a new one.
void sendRecordedStarts(State&, MonotonicTime now, Orders&);

void onStartResult(State&, const RunRef&, StartResult, MonotonicTime now, Orders&);

// Repeats an unanswered start, or stops the run if the start has been repeated often enough.
void resendStart(State&, const RunRef&, Run&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
