#pragma once

#include "scheduler/Fleet.h"
#include "scheduler/Jobs.h"
#include "scheduler/Orders.h"
#include "scheduler/Runs.h"

namespace kingcuploom::scheduler {

// The caller has cancelled the job: starts nothing more and stops all runs.
void cancelJob(State&, const GraphJobId&, MonotonicTime now, std::int64_t wallMs, Orders&);

// Checks everything that depends on time. To be called every 50 ms or so.
void onTick(State&, MonotonicTime now, std::int64_t wallMs, Orders&);

// Places what waits and orders the looks that are due. To be called after events, and after onTick().
void advance(State&, MonotonicTime now, Orders&);

// Takes jobs out of the active set that have ended, with all runs gone and everything stored.
void retireJobs(State&);

} // namespace kingcuploom::scheduler
