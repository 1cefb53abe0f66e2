#include "scheduler/HeldJobs.h"

namespace kingcuploom::scheduler {

namespace {

    Milliseconds toMilliseconds(MonotonicTime::duration time) { return std::chrono::duration_cast<Milliseconds>(time); }

} // namespace

void holdEndedJob(State& state, Job& job, MonotonicTime now, Orders& orders)
{
    ++state.heldJobShare.total;
    const auto& start = job.latestHeldStart;
    if (!start || start->until < now)
        return;
    job.isHeld = countDelayed(state.heldJobShare, 1, state.parameters.heldJobs);
    if (job.isHeld)
        state.heldJobs.insert(job.id);
    orders.emplace_back(Decision { job.isHeld ? "job_held" : "job_not_held", job.id.value(), start->worker,
        job.isHeld ? "starts_open" : "held_share", toMilliseconds(now - start->sentAt), toMilliseconds(start->until - now).count() });
}

void restoreHeldJob(State& state, Job& job, const schema::GraphJobProgressT& progress)
{
    if (!progress.held || !hasEnded(job))
        return;
    job.isHeld = true;
    // The earlier leader had sent the start before it wrote the record.
    const auto termStartedAt = state.termStartedAt;
    job.latestHeldStart = LateStart { {}, termStartedAt, termStartedAt + state.parameters.maxOrderDelay };
    state.heldJobs.insert(job.id);
}

void showHeldJobs(State& state, MonotonicTime now, Orders& orders)
{
    std::erase_if(state.heldJobs, [&](const GraphJobId& id) {
        auto& job = state.jobs.at(id);
        if (job.latestHeldStart->until >= now)
            return false;
        const auto held = toMilliseconds(now - job.endedAt.value_or(now));
        orders.emplace_back(Decision { "job_shown", id.value(), {}, "starts_over", held, held.count() });
        job.isHeld = false;
        // The state is kept for the retention time from now on, as callers see it only now.
        job.endedAt = now;
        markDirty(state, job, now, true);
        return true;
    });
}

} // namespace kingcuploom::scheduler
