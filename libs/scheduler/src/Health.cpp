#include "scheduler/Health.h"

#include "JobRuns.h"
#include "scheduler/Runs.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Number of different jobs with failed tasks on the worker, without a successful task in between.
    constexpr std::size_t failuresToQuarantine = 2;
    // Number of stalled runs without a successful task in between.
    constexpr unsigned stallsToQuarantine = 2;
    constexpr Milliseconds quarantineTime { 3000 };
    // Number of consecutive runs whose start was not accepted.
    constexpr unsigned unacceptedStartsToQuarantine = 2;
    constexpr unsigned maxQuarantineDoublings = 2;
    // After each failure or stall that counts against a worker, other workers are preferred for this time.
    constexpr Milliseconds failureAvoidTime { 1500 };
    // Limits the quarantines in a service: if more of its workers appear to fail, the cause is likely not the workers.
    constexpr std::size_t maxQuarantinePercent = 34;

    // A run is stalled if its percentage has not changed for this time plus this fraction of its estimate.
    constexpr Milliseconds stallTimeout { 1300 };
    constexpr double stallShare = 0.08;
    // The percentage of a standing task is its start-up progress. The task is stalled if the percentage is below 100 and has not changed
    // for this time.
    constexpr Milliseconds standingStallTimeout { 4000 };

    bool mayQuarantineOneMore(const State& state, const ServiceName& service, MonotonicTime now)
    {
        std::size_t size = 0;
        std::size_t quarantined = 0;
        for (const auto& [id, worker] : state.workers) {
            if (worker.service != service)
                continue;
            ++size;
            quarantined += worker.health.quarantinedUntil > now ? 1 : 0;
        }
        const std::size_t limit = std::max<std::size_t>(size * maxQuarantinePercent / 100, size > 1 ? 1 : 0);
        return quarantined < limit;
    }

    void quarantine(State& state, Worker& worker, const char* reason, MonotonicTime now, Orders& orders)
    {
        if (worker.health.quarantinedUntil > now)
            return;
        if (!mayQuarantineOneMore(state, worker.service, now))
            return;
        const auto doublings = std::min(worker.health.quarantines++, maxQuarantineDoublings);
        worker.health.quarantinedUntil = now + quarantineTime * (1 << doublings);
        worker.health.isOnProbation = true;
        const auto failures = static_cast<std::int64_t>(worker.health.recentFailures.size());
        worker.health.recentFailures.clear();
        worker.health.stalls = 0;
        worker.health.unacceptedStarts = 0;
        orders.emplace_back(Decision { "worker_quarantined", {}, worker.id, reason, {}, failures });
    }

    // Measured up to the last reading: a leader that is late does not know whether the percentage has changed since.
    bool isStalled(const schema::StepSpecT& step, const Run& run, MonotonicTime reportedAt)
    {
        // A task with a low pace may legitimately make no visible progress.
        if (run.phase != RunPhase::Running || !run.isListed || run.percent >= 100 || run.pace < 50 || run.confirmedPace < 50)
            return false;
        const auto unchangedFor = reportedAt - run.percentChangedAt;
        if (step.long_running)
            return unchangedFor > standingStallTimeout;
        const auto share = std::chrono::duration_cast<Milliseconds>(Milliseconds(step.estimate_ms) * stallShare);
        return unchangedFor > stallTimeout + share;
    }

} // namespace

void recordRunEnd(
    State& state, Worker& worker, const Job& job, const Task& task, const Run&, EndKind kind, MonotonicTime now, Orders& orders)
{
    auto& health = worker.health;
    if (kind == EndKind::Done) {
        health.recentFailures.clear();
        health.stalls = 0;
        health.unacceptedStarts = 0;
        health.quarantines = 0;
        health.isOnProbation = false;
        return;
    }
    // If the task has failed before, the task is more likely the cause than this worker.
    if (kind != EndKind::Failed || task.failures > 0)
        return;
    health.avoidUntil = now + failureAvoidTime;
    if (std::ranges::find(health.recentFailures, job.id) == health.recentFailures.end())
        health.recentFailures.push_back(job.id);
    const std::size_t needed = health.isOnProbation ? 1 : failuresToQuarantine;
    if (health.recentFailures.size() >= needed)
        quarantine(state, worker, "failures", now, orders);
}

void recordStall(State& state, Worker& worker, const RunRef& ref, MonotonicTime now, Orders& orders)
{
    orders.emplace_back(Decision { "run_stalled", toString(ref), worker.id, "no_progress", {}, worker.health.stalls });
    worker.health.avoidUntil = now + failureAvoidTime;
    const unsigned needed = worker.health.isOnProbation ? 1 : stallsToQuarantine;
    if (++worker.health.stalls >= needed)
        quarantine(state, worker, "stalls", now, orders);
}

void preferOtherWorkers(Task& task, const WorkerId& id)
{
    if (std::ranges::find(task.failedOn, id) == task.failedOn.end())
        task.failedOn.push_back(id);
}

void recordUnacceptedStart(State& state, Worker& worker, MonotonicTime now, Orders& orders)
{
    worker.health.avoidUntil = now + failureAvoidTime;
    const unsigned needed = worker.health.isOnProbation ? 1 : unacceptedStartsToQuarantine;
    if (++worker.health.unacceptedStarts >= needed)
        quarantine(state, worker, "starts", now, orders);
}

bool isHealthy(const Worker& worker, MonotonicTime now)
{
    if (worker.health.quarantinedUntil > now || worker.refusedUntil > now)
        return false;
    return !worker.health.isOnProbation || std::ranges::none_of(worker.runs, [&](const RunRef&) { return worker.health.avoidUntil > now; });
}

void checkProgress(State& state, MonotonicTime now, Orders& orders)
{
    WorkerRuns stalled;
    // No reading is newer than now, so this finds all candidates; the age of the reading is checked below.
    const auto isWanted = [&](const Job&, const schema::StepSpecT& step, const Task&, const Run& run) { return isStalled(step, run, now); };
    collectRuns(state, isWanted, stalled);
    for (const auto& [id, ref] : stalled) {
        auto& worker = state.workers.at(id);
        // Without a recent answer the readings are outdated, which does not mean that the runs are stalled.
        if (now - worker.lastAnswerAt > stallTimeout)
            continue;
        const auto* run = findRun(state, ref);
        if (!run || !isStalled(getStepSpec(*findJob(state, ref.task.job), ref.task.step), *run, worker.reportedAt))
            continue;
        recordStall(state, worker, ref, now, orders);
        stopRun(state, ref, StopReason::NoProgress, now, orders);
    }
}

} // namespace kingcuploom::scheduler
