#include "scheduler/Urgency.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // A job is of use, at a smaller value, up to this multiple of the time from its acceptance to its due time.
    constexpr int lateUseFactor = 3;
    // Estimates are off either way, and a step takes a commit, a start and a look beside its work. Jobs that can only just be in time
    // would be late in most cases, and would keep others from being in time.
    constexpr double chainMarginFactor = 1.1;
    constexpr Milliseconds chainMargin { 80 };

    bool isStanding(const Job& job)
    {
        return std::ranges::any_of(job.spec->steps, [](const auto& step) { return step->long_running; });
    }

    std::int64_t toMilliseconds(MonotonicTime time) { return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count(); }

} // namespace

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

// Earliest due time first is best only while all can be in time: under overload it serves the jobs that have just become late
// and so makes the next ones late as well. Those that can still be in time go first; of those that cannot, the ones that would
// soonest be of no use.
Urgency computeUrgency(const State& state, const Job& job, MonotonicTime now)
{
    const auto priority = getPolicy(state, job).priority;
    if (isStanding(job))
        return { priority, DeadlineStatus::Standing, toMilliseconds(job.dueAt) };
    const auto chain = computeRemainingCriticalPath(job);
    const auto chainWithMargin = std::chrono::duration_cast<Milliseconds>(chain * chainMarginFactor) + chainMargin;
    if (now + chainWithMargin <= job.dueAt)
        return { priority, DeadlineStatus::OnTime, toMilliseconds(job.dueAt) };
    const auto lateEnd = job.acceptedAt + (job.dueAt - job.acceptedAt) * lateUseFactor;
    if (now + chain <= lateEnd)
        return { priority, DeadlineStatus::Late, toMilliseconds(lateEnd - chain) };
    return { priority, DeadlineStatus::Expired, toMilliseconds(job.dueAt) };
}

} // namespace kingcuploom::scheduler
