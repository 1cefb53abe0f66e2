#include "scheduler/EndAcks.h"

#include "scheduler/LateStarts.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    bool isCommitted(State& state, const UncommittedEnd& end)
    {
        const auto* job = findJob(state, end.run.task.job);
        return !job || job->committed >= end.requiredVersion;
    }

    // Counts the ends of the worker that are delayed by now. Counts none and returns false if that would exceed their share of all ends.
    bool countDelays(State& state, Worker& worker, MonotonicTime now)
    {
        const auto isDelayed = [&](const UncommittedEnd& it) { return now - it.listedAt > state.parameters.ackDelayLimit; };
        const auto end = std::ranges::find_if_not(worker.uncommittedEnds, isDelayed);
        const auto added = static_cast<std::uint64_t>(
            std::count_if(worker.uncommittedEnds.begin(), end, [](const UncommittedEnd& it) { return !it.isDelayCounted; }));
        if (!countDelayed(state.ackDelays, added, state.parameters.delayedAcks))
            return false;
        std::for_each(worker.uncommittedEnds.begin(), end, [](UncommittedEnd& it) { it.isDelayCounted = true; });
        return true;
    }

    // Returns why the first end is not held any longer, or null if it is.
    const char* findReleaseReason(State& state, Worker& worker, MonotonicTime now)
    {
        if (worker.uncommittedEnds.front().heldUntil < now)
            return "starts_expired";
        if (worker.areEndsCut)
            return "report_full";
        return countDelays(state, worker, now) ? nullptr : "delayed_share";
    }

    void reportHold(
        const char* event, const char* reason, const Worker& worker, const UncommittedEnd& end, MonotonicTime now, Orders& orders)
    {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - end.listedAt);
        orders.emplace_back(
            Decision { event, toString(end.run), worker.id, reason, age, static_cast<std::int64_t>(worker.uncommittedEnds.size()) });
    }

} // namespace

void addUncommittedEnd(State& state, Worker& worker, const ListedEnd& end, MonotonicTime now)
{
    auto* job = findJob(state, end.run.task.job);
    UncommittedEnd entry { end.number, end.run, job ? job->version : ProgressVersion(), now };
    // Other ends count neither as an execution of the task nor as an attempt.
    const bool mayBeHeld = end.kind == EndKind::Done || end.kind == EndKind::Failed;
    const auto start = mayBeHeld ? findLateStart(state, end.run.task, worker.id, now) : std::nullopt;
    if (start)
        entry.heldUntil = start->until;
    const bool isLatestOfJob = start && job && (!job->latestHeldStart || job->latestHeldStart->until < start->until);
    if (isLatestOfJob)
        job->latestHeldStart = start;
    worker.lastSeenEnd = end.number;
    worker.uncommittedEnds.push_back(std::move(entry));
    ++state.ackDelays.total;
}

void advanceEndCursor(State& state, Worker& worker, MonotonicTime now, Orders& orders)
{
    worker.isHoldingEnds = false;
    while (!worker.uncommittedEnds.empty()) {
        auto& first = worker.uncommittedEnds.front();
        if (!isCommitted(state, first))
            return;
        if (first.heldUntil) {
            const auto* reason = findReleaseReason(state, worker, now);
            worker.isHoldingEnds = !reason;
            if (!reason && !std::exchange(first.isHoldReported, true))
                reportHold("end_ack_held", "starts_open", worker, first, now, orders);
            if (!reason)
                return;
            reportHold("end_ack_released", reason, worker, first, now, orders);
        }
        worker.lastCommittedEnd = first.number;
        worker.uncommittedEnds.pop_front();
    }
}

} // namespace kingcuploom::scheduler
