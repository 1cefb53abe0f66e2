#include "scheduler/Scheduler.h"
#include "scheduler/Occurrences.h"

#include "scheduler/Advice.h"
#include "scheduler/Fleet.h"
#include "scheduler/Health.h"
#include "scheduler/HeldJobs.h"
#include "scheduler/LateStarts.h"
#include "scheduler/Pacing.h"
#include "scheduler/Placement.h"
#include "scheduler/Polls.h"
#include "scheduler/RunStarts.h"
#include "scheduler/Runs.h"
#include "scheduler/StandingTasks.h"
#include "scheduler/Suspects.h"

#include <algorithm>

namespace kingcuploom::scheduler {

void cancelJob(State& state, const GraphJobId& id, MonotonicTime now, std::int64_t wallMs, Orders& orders)
{
    auto* job = findJob(state, id);
    if (!job || hasEnded(*job))
        return;
    job->isCancelRequested = true;
    endJob(state, *job, schema::JobState::Cancelled, now, wallMs);
    orders.emplace_back(Decision { "job_cancelled", id.value(), {}, "caller", {}, static_cast<std::int64_t>(countRuns(*job)) });
    stopJobRuns(state, *job, StopReason::JobEnded, now, orders);
}

namespace {

    constexpr Milliseconds refitInterval { 1000 };

} // namespace

void onTick(State& state, MonotonicTime now, std::int64_t wallMs, Orders& orders)
{
    if (now - state.refittedAt >= refitInterval) {
        state.interference.refit();
        state.refittedAt = now;
    }
    for (const auto& id : state.active) {
        auto& job = state.jobs.at(id);
        if (job.spec->repeat_count > 0)
            openDueOccurrences(state, job, now, wallMs);
    }
    checkOwnLink(state, orders);
    updateStartWindow(state.startWindow, now);
    checkRuns(state, now, orders);
    pruneLateStarts(state, now);
    ageDelayShare(state.ackDelays, now);
    ageDelayShare(state.heldJobShare, now);
    showHeldJobs(state, now, orders);
    checkProgress(state, now, orders);
    checkWorkers(state, now, orders);
    checkSuspects(state, now, wallMs, orders);
    placeSpeculativeCopies(state, now, orders);
    checkStandingTasks(state, now, orders);
}

void advance(State& state, MonotonicTime now, Orders& orders)
{
    sendRecordedStarts(state, now, orders);
    placeWaitingTasks(state, now, orders);
    schedulePolls(state, now, orders);
}

void retireJobs(State& state)
{
    std::erase_if(state.ended, [&](const GraphJobId& id) {
        auto& job = state.jobs.at(id);
        const bool isOver = job.committed == job.version && !job.isCommitInFlight && countRuns(job) == 0;
        if (!isOver)
            return false;
        state.active.erase(id);
        state.waiting.erase(id);
        state.dirty.erase(id);
        job.occurrences.clear();
        job.spec.reset();
        return true;
    });
    pruneAdvice(state);
}

} // namespace kingcuploom::scheduler
