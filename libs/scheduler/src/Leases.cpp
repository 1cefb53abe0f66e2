#include "scheduler/Leases.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Returns true if no incarnation of the worker but the one that the leader knows can execute the run.
    bool isConfinedToIncarnation(const State& state, const Worker& worker, const Run& run)
    {
        if (mayArriveLate(run))
            return false;
        // The answer to a start does not tell which incarnation has given it. One that had restarted would have replaced its entry, or lost
        // it.
        const bool isSameIncarnation = worker.isListed && !worker.isEntryUnreadable && !state.isViewStale;
        return isSameIncarnation || (run.isListed && run.born == worker.born);
    }

} // namespace

Milliseconds onLocalClock(const Parameters& parameters, Milliseconds lease)
{
    return lease * (100 + 2 * parameters.clockSlowPercent) / 100;
}

MonotonicTime computeMisdirectedLeaseEnd(const State& state, const Worker& worker)
{
    if (!worker.leaseOrderedAt)
        return worker.leaseEnd;
    const auto& parameters = state.parameters;
    const auto end = *worker.leaseOrderedAt + parameters.maxOrderDelay + onLocalClock(parameters, parameters.maxLease);
    return std::max(worker.leaseEnd, end);
}

std::optional<std::int64_t> extendLease(const State& state, Worker& worker, MonotonicTime now)
{
    if (!worker.clockMs)
        return std::nullopt;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - worker.clockAt);
    const auto& parameters = state.parameters;
    const auto until = *worker.clockMs + elapsed.count() + parameters.lease.count();
    worker.leaseEnd = std::max(worker.leaseEnd, worker.clockAt + onLocalClock(parameters, elapsed + parameters.lease));
    worker.leaseOrderedAt = now;
    return until;
}

MonotonicTime computeLatestLeaseEnd(const State& state, const Worker& worker, const Run& run)
{
    return isConfinedToIncarnation(state, worker, run) ? worker.leaseEnd : computeMisdirectedLeaseEnd(state, worker);
}

MonotonicTime computeUnseenRunEnd(const State& state, const Run& run)
{
    return computeLastArrival(state, run) + onLocalClock(state.parameters, state.parameters.maxLease);
}

MonotonicTime computeEarlierTermLeaseEnd(const State& state, const Run& run)
{
    const auto& parameters = state.parameters;
    const auto delay = mayArriveLate(run) ? parameters.maxOrderDelay : Milliseconds(0);
    return state.termStartedAt + parameters.storeSilenceLimit + delay + onLocalClock(parameters, parameters.maxLease);
}

} // namespace kingcuploom::scheduler
