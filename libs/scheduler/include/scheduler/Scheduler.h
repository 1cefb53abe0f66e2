#pragma once

#include "scheduler/Jobs.h"
#include "scheduler/Orders.h"
#include "scheduler/RunStarts.h"
#include "scheduler/Runs.h"

namespace kingcuploom::scheduler {

// Cancels the job at the caller's request and stops all its runs.
void cancelJob(State&, const GraphJobId&, MonotonicTime now, std::int64_t wallMs, Orders&);

// Runs all time-dependent checks. Must be called about every 50 ms.
void onTick(State&, MonotonicTime now, std::int64_t wallMs, Orders&);

// Places waiting tasks and emits the polls that are due. Must be called after events and after onTick().
void advance(State&, MonotonicTime now, Orders&);

// Removes jobs from the active set once they have ended, all their runs are gone and their progress is committed.
void retireJobs(State&);

} // namespace kingcuploom::scheduler
