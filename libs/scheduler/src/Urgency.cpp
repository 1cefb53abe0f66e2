#include "scheduler/Urgency.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // A late result is useful, at reduced value, up to this multiple of the time from the acceptance of the job to its due time.
    constexpr int lateUseFactor = 3;
    // Margin for estimation errors and for the commit, start and poll of each step. Jobs that would be only just on time are mostly late,
    // and make other jobs late as well.
    constexpr double chainMarginFactor = 1.1;
    constexpr Milliseconds chainMargin { 80 };
    // Until then, a standing task that is to be restarted takes the room that jobs which can be on time leave.
    constexpr Milliseconds maxInterruption { 4000 };

    bool isStanding(const Job& job)
    {
        return std::ranges::any_of(job.spec->steps, [](const auto& step) { return step->long_running; });
    }

    bool isInterrupted(const Task& task, MonotonicTime now)
    {
        const bool wasExecuted = task.lastRun > RunNumber() && task.runs.empty();
        return wasExecuted && task.idleSince && now - *task.idleSince >= maxInterruption;
    }

    bool isInterrupted(const Job& job, MonotonicTime now)
    {
        return std::ranges::any_of(job.occurrences, [&](const auto& entry) {
            const auto& steps = entry.second.steps;
            for (std::uint32_t i = 0; i < steps.size(); ++i) {
                const auto isTaskInterrupted = [&](const Task& task) { return isInterrupted(task, now); };
                if (getStepSpec(job, i).long_running && std::ranges::any_of(steps[i].tasks, isTaskInterrupted))
                    return true;
            }
            return false;
        });
    }

    bool isUnderserved(const State& state, const Job& job)
    {
        const auto it = state.queueSizes.find(job.queue);
        return it != state.queueSizes.end() && it->second.shares.isUnderserved(job.size);
    }

    std::int64_t toMilliseconds(MonotonicTime time) { return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count(); }

} // namespace

MonotonicTime computeUselessAt(const Job& job) { return job.acceptedAt + (job.dueAt - job.acceptedAt) * lateUseFactor; }

Milliseconds computeRemainingCriticalPath(const Job& job)
{
    Milliseconds longest { 0 };
    for (const auto& [number, occurrence] : job.occurrences) {
        std::vector<Milliseconds> ends;
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
            const auto& spec = getStepSpec(job, i);
            const auto& step = occurrence.steps[i];
            Milliseconds end { step.doneCount == step.tasks.size() ? 0 : spec.estimate_ms };
            Milliseconds start { 0 };
            std::ranges::for_each(spec.after, [&](auto earlier) { start = std::max(start, ends[earlier]); });
            ends.push_back(start + end);
            longest = std::max(longest, ends.back());
        }
    }
    return longest;
}

// Earliest deadline first is optimal only while all jobs can meet their due time: under overload it serves jobs that have just become late
// and makes the next ones late as well. Jobs that can still be on time therefore go first, followed by the late jobs whose results expire
// soonest.
//
// That order favours jobs with little work: under a lasting overload they take all room before a larger job has it. The sizes of a queue
// that have fared worse than the whole therefore go before. Of their jobs, those that have begun are finished, and the one with the most
// time left begins, since the one that expires soonest would mostly be in vain.
//
// A standing task needs several times the room of most others, and under a lasting load the jobs that can be on time take each part of it
// as it comes free. One that was executed and has lost its worker would then be down for as long as the load lasts, so its job goes first.
Urgency computeUrgency(const State& state, const Job& job, MonotonicTime now)
{
    const auto priority = getPolicy(state, job).priority;
    if (isStanding(job)) {
        const auto status = isInterrupted(job, now) ? DeadlineStatus::Interrupted : DeadlineStatus::Standing;
        return { priority, status, toMilliseconds(job.dueAt) };
    }
    const auto chain = computeRemainingCriticalPath(job);
    const auto chainWithMargin = std::chrono::duration_cast<Milliseconds>(chain * chainMarginFactor) + chainMargin;
    const auto uselessAt = computeUselessAt(job);
    if (now + chain <= uselessAt && isUnderserved(state, job)) {
        if (job.state != schema::JobState::Queued)
            return { priority, DeadlineStatus::UnderservedBegun, toMilliseconds(uselessAt - chain) };
        return { priority, DeadlineStatus::Underserved, -toMilliseconds(uselessAt - chain) };
    }
    if (now + chainWithMargin <= job.dueAt)
        return { priority, DeadlineStatus::OnTime, toMilliseconds(job.dueAt) };
    if (now + chain <= uselessAt)
        return { priority, DeadlineStatus::Late, toMilliseconds(uselessAt - chain) };
    return { priority, DeadlineStatus::Expired, toMilliseconds(job.dueAt) };
}

} // namespace kingcuploom::scheduler
