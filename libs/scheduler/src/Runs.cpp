#include "scheduler/Runs.h"

#include "JobRuns.h"
#include "scheduler/LateStarts.h"
#include "scheduler/Leases.h"
#include "scheduler/Reservations.h"
#include "scheduler/RunStarts.h"
#include "scheduler/Suspects.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Delay before an unanswered order is resent.
    constexpr Milliseconds resendDelay { 100 };
    // Consecutive polls without an answer after which a worker counts as silent.
    constexpr unsigned minMissedPolls = 2;

    void releaseLapsedRun(State& state, const RunRef& ref, const Run& run, const Worker& worker, MonotonicTime now, Orders& orders)
    {
        reportOpenStarts(ref, run, run.isListed ? "listed" : "not_listed", now, orders);
        const auto sinceOrder = std::chrono::duration_cast<Milliseconds>(now - worker.leaseOrderedAt.value_or(state.termStartedAt));
        orders.emplace_back(Decision { "run_lapsed", toString(ref), worker.id, "lease_over",
            std::chrono::duration_cast<Milliseconds>(now - worker.lastAnswerAt), sinceOrder.count() });
        // An incarnation that still renews its entry in the list of workers has not crashed.
        if (!worker.isListed || run.born != worker.born)
            countCrash(state, ref, assessLoss(state, worker, LossKind::Unexplained), now);
        else
            countOtherEnd(*findTask(state, ref.task));
        releaseRun(state, ref, now);
    }

    // Returns true if checkRun would order something for the run while its lease lasts.
    bool needsOrder(const Job& job, const Task& task, const Run& run, MonotonicTime now)
    {
        if (run.phase == RunPhase::Running)
            return hasEnded(job) || task.isDone;
        const bool isUnanswered = run.phase == RunPhase::Starting || (run.phase == RunPhase::Stopping && !run.stopConfirmedAt);
        return isUnanswered && !run.isOrderInFlight && now - run.orderedAt >= resendDelay;
    }

    // Almost no run needs a check, so those that may need one are found first.
    WorkerRuns collectRunsToCheck(const State& state, MonotonicTime now)
    {
        WorkerRuns runs;
        for (const auto& [id, worker] : state.workers) {
            if (now <= worker.leaseEnd)
                continue;
            for (const auto& ref : worker.runs)
                runs.emplace(id, ref);
        }
        const auto isWanted
            = [&](const Job& job, const schema::StepSpecT&, const Task& task, const Run& run) { return needsOrder(job, task, run, now); };
        collectRuns(state, isWanted, runs);
        return runs;
    }

    void checkRun(State& state, const RunRef& ref, Worker& worker, MonotonicTime now, Orders& orders)
    {
        auto* run = findRun(state, ref);
        if (!run || isUnsent(*run))
            return;
        const bool isUnneeded = hasEnded(*findJob(state, ref.task.job)) || findTask(state, ref.task)->isDone;
        if (run->phase == RunPhase::Running && isUnneeded)
            stopRun(state, ref, StopReason::JobEnded, now, orders);
        const bool isSent = run->phase != RunPhase::Unverified;
        const auto leaseEnd = computeLatestLeaseEnd(state, worker, *run);
        // An earlier leader may have extended the lease of its runs, so a worker that has not answered in this term may still execute them.
        const auto end = isSent && worker.hasSeenFence ? leaseEnd : std::max(leaseEnd, computeEarlierTermLeaseEnd(state, *run));
        // The run may have ended as done in an answer that this leader's link has lost or still holds back, so that starting the task
        // again would repeat completed work. The worker is polled until it answers, or until its silence is its own.
        const bool isSilenceOfWorker = !worker.isListed || (worker.missedPolls >= minMissedPolls && !state.isOwnLinkSuspect);
        if (now > end && isSilenceOfWorker)
            return releaseLapsedRun(state, ref, *run, worker, now, orders);
        if (run->isOrderInFlight || now - run->orderedAt < resendDelay)
            return;
        if (run->phase == RunPhase::Starting)
            resendStart(state, ref, *run, now, orders);
        else if (run->phase == RunPhase::Stopping && !run->stopConfirmedAt)
            resendStop(ref, *run, now, orders);
    }

} // namespace

void reportOpenStarts(const RunRef& ref, const Run& run, const char* reason, MonotonicTime now, Orders& orders)
{
    if (!mayArriveLate(run))
        return;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - run.lastStartAt);
    orders.emplace_back(Decision { "run_starts_open", toString(ref), run.worker, reason, age, run.openStarts });
}

void storeAnsweredStarts(State& state, Job& job, const TaskRef& task, MonotonicTime now)
{
    // A task that lasts has no other change that would be stored, and must not be idle for long after the loss of its worker and of the
    // leader.
    if (getStepSpec(job, task.step).long_running)
        markDirty(state, job, now, false);
}

void releaseRun(State& state, const RunRef& ref, MonotonicTime now)
{
    auto* job = findJob(state, ref.task.job);
    auto* task = findTask(state, ref.task);
    const auto* run = findRun(state, ref);
    if (!job || !task || !run)
        return;
    recordLateStart(state, *job, ref.task, *run, now);
    unreserve(state, ref, run->worker);
    std::erase_if(task->runs, [&](const Run& it) { return it.number == ref.run; });
    if (!hasEnded(*job) && !task->isDone)
        markWaiting(state, *job);
    // Also stored for ended jobs, whose record shrinks with each run that is gone.
    markDirty(state, *job, now, false);
}

void stopRun(State& state, const RunRef& ref, StopReason reason, MonotonicTime now, Orders& orders)
{
    auto* run = findRun(state, ref);
    if (!run || run->phase == RunPhase::Stopping)
        return;
    if (isUnsent(*run))
        return releaseRun(state, ref, now);
    run->stopReason = reason;
    // For a run of an earlier leader, the worker is first polled for whether it exists.
    if (run->phase == RunPhase::Unverified && reason != StopReason::JobEnded)
        return;
    run->phase = RunPhase::Stopping;
    const auto* worker = findWorker(state, run->worker);
    const auto age = worker ? std::chrono::duration_cast<Milliseconds>(now - worker->lastAnswerAt) : Milliseconds(0);
    orders.emplace_back(Decision { "run_stop", toString(ref), run->worker, toString(reason), age, run->percent });
    resendStop(ref, *run, now, orders);
}

void resendStop(const RunRef& ref, Run& run, MonotonicTime now, Orders& orders)
{
    run.orderedAt = now;
    run.isOrderInFlight = true;
    orders.emplace_back(StopOrder { ref, run.worker, run.stopReason });
}

void stopJobRuns(State& state, const Job& job, StopReason reason, MonotonicTime now, Orders& orders)
{
    std::vector<RunRef> refs;
    visitRuns(job, [&](std::uint32_t occurrence, std::uint32_t step, std::uint32_t index, const Task&, const Run& run) {
        refs.push_back({ { job.id, occurrence, step, index }, run.number });
    });
    std::ranges::for_each(refs, [&](const RunRef& ref) { stopRun(state, ref, reason, now, orders); });
}

void onStopResult(State& state, const RunRef& ref, StopResult result, MonotonicTime now, Orders& orders)
{
    auto* run = findRun(state, ref);
    if (!run || run->phase != RunPhase::Stopping)
        return;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - run->orderedAt);
    orders.emplace_back(Decision { "run_stop_answered", toString(ref), run->worker, toString(result), age, run->percent });
    run->isOrderInFlight = false;
    run->orderedAt = now;
    if (result == StopResult::Accepted)
        run->stopConfirmedAt = now;
    // The stop was sent after all starts of the run. Each of them carried a deadline, none later than the end of the worker's lease.
    const auto* worker = findWorker(state, run->worker);
    if (!run->startsExpireAt && worker && run->born == worker->born && worker->hasSeenFence)
        run->startsExpireAt = worker->leaseEnd;
}

void checkRuns(State& state, MonotonicTime now, Orders& orders)
{
    for (const auto& [id, ref] : collectRunsToCheck(state, now))
        checkRun(state, ref, state.workers.at(id), now, orders);
}

} // namespace kingcuploom::scheduler
