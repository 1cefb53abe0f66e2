#include "scheduler/Jobs.h"

#include "scheduler/HeldJobs.h"
#include "scheduler/JobRecords.h"
#include "scheduler/LateStarts.h"
#include "scheduler/Occurrences.h"
#include "scheduler/Runs.h"
#include "scheduler/Urgency.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    bool hasStarted(const Job& job) { return job.state != schema::JobState::Queued; }

} // namespace

Milliseconds computeCriticalPath(const schema::GraphJobSpecT& spec)
{
    std::vector<Milliseconds> ends;
    Milliseconds longest { 0 };
    for (const auto& step : spec.steps) {
        Milliseconds start { 0 };
        for (const auto earlier : step->after)
            start = std::max(start, earlier < ends.size() ? ends[earlier] : Milliseconds { 0 });
        ends.push_back(start + Milliseconds(step->estimate_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Job* addJob(State& state, std::shared_ptr<const schema::GraphJobSpecT> spec, const schema::GraphJobProgressT* progress,
    Revision recordRevision, MonotonicTime now, std::int64_t wallMs)
{
    const GraphJobId id(spec->job);
    if (const auto known = state.jobs.find(id); known != state.jobs.end())
        return nullptr;
    auto& job = state.jobs[id];
    job.id = id;
    job.queue = QueueName(spec->queue);
    job.spec = std::move(spec);
    std::ranges::transform(
        job.spec->steps, std::back_inserter(job.images), [&](const auto& step) { return state.interference.getImageNumber(step->image); });
    job.size = state.queueSizes[job.queue].sample.add(computeWork(*job.spec));
    job.recordRevision = recordRevision;
    job.arrivedAt = now;
    const auto age = std::clamp(Milliseconds(wallMs - job.spec->accepted_at_ms), Milliseconds(0), Milliseconds(60'000));
    const auto& policy = getPolicy(state, job);
    const auto work = std::chrono::duration_cast<Milliseconds>(computeCriticalPath(*job.spec) * policy.stretch);
    job.acceptedAt = now - age;
    job.dueAt = job.acceptedAt + work + Milliseconds(policy.target_duration_ms);
    state.active.insert(id);
    if (progress) {
        restoreProgress(state, job, *progress, now);
        restoreLateStarts(state, *progress);
        restoreHeldJob(state, job, *progress);
    }
    openDueOccurrences(state, job, now, wallMs);
    markWaiting(state, job);
    return &job;
}

void addEndedJob(State& state, const schema::GraphJobProgressT& progress, Revision recordRevision, MonotonicTime now)
{
    const GraphJobId id(progress.job);
    auto& job = state.jobs[id];
    job.id = id;
    job.queue = QueueName(progress.queue);
    job.state = progress.state;
    job.recordRevision = recordRevision;
    job.endedWallMs = progress.ended_at_ms;
    // Counted from here, as the time of day of the leader that ended the job may differ by any amount.
    job.endedAt = now;
    restoreLateStarts(state, progress);
    restoreHeldJob(state, job, progress);
}

void finishTask(State& state, Job& job, const TaskRef& ref, MonotonicTime now, std::int64_t wallMs)
{
    auto& occurrence = job.occurrences.at(ref.occurrence);
    auto& step = occurrence.steps[ref.step];
    auto& task = step.tasks[ref.index];
    if (task.isDone)
        return;
    task.isDone = true;
    ++step.doneCount;
    if (!isStepDone(step))
        return markDirty(state, job, now, false);
    updateOpenSteps(*job.spec, occurrence);
    markWaiting(state, job);
    job.blockedUntil = {};
    if (isOccurrenceDone(occurrence))
        ++job.doneOccurrences;
    if (job.doneOccurrences == getOccurrenceCount(*job.spec))
        endJob(state, job, schema::JobState::Completed, now, wallMs);
    else
        markDirty(state, job, now, false);
}

void endJob(State& state, Job& job, schema::JobState outcome, MonotonicTime now, std::int64_t wallMs)
{
    job.state = outcome;
    job.endedAt = now;
    job.endedWallMs = wallMs;
    job.hasWaitingTasks = false;
    job.waits.end(now);
    if (outcome == schema::JobState::Completed)
        countServed(state, job, now <= computeUselessAt(job));
    state.ended.insert(job.id);
    markDirty(state, job, now, true);
}

void countServed(State& state, Job& job, bool isServed)
{
    if (!std::exchange(job.isShareCounted, true))
        state.queueSizes[job.queue].shares.add(job.size, isServed);
}

bool isCommitDue(const Job& job, MonotonicTime now, Milliseconds batchDelay)
{
    return job.commitNotBefore <= now && (job.isUrgent || now - job.dirtySince >= batchDelay);
}

std::vector<GraphJobId> orderCommits(const State& state, MonotonicTime now, Milliseconds batchDelay)
{
    std::vector<GraphJobId> order;
    std::ranges::copy_if(state.dirty, std::back_inserter(order), [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return !job.isCommitInFlight && job.commitNotBefore <= now;
    });
    std::ranges::stable_sort(order, {}, [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return std::pair(!isCommitDue(job, now, batchDelay), job.dirtySince);
    });
    return order;
}

std::size_t pendingJobs(const State& state, const QueueName& queue, MonotonicTime, std::int64_t wallMs)
{
    return static_cast<std::size_t>(std::ranges::count_if(state.active, [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return job.queue == queue && !hasStarted(job) && getDueWallMs(*job.spec, 0) <= wallMs;
    }));
}

std::vector<GraphJobId> expiredJobs(const State& state, MonotonicTime now, std::size_t limit)
{
    std::vector<GraphJobId> expired;
    for (const auto& [id, job] : state.jobs) {
        if (expired.size() >= limit)
            break;
        const bool isIdle = !state.active.contains(id) && !state.dirty.contains(id) && !job.isCommitInFlight;
        if (isIdle && job.endedAt && *job.endedAt + state.parameters.jobRetention < now)
            expired.push_back(id);
    }
    return expired;
}

} // namespace kingcuploom::scheduler
