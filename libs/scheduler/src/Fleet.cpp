#include "scheduler/Fleet.h"

#include "scheduler/Fences.h"
#include "scheduler/Leases.h"
#include "scheduler/Runs.h"
#include "scheduler/Suspects.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // The time of day of two machines differs by less, also while it jumps.
    constexpr Milliseconds maxClockDifference = std::chrono::hours(1);
    // Time for which a draining worker may finish its runs.
    constexpr Milliseconds drainGracePeriod { 1200 };

    // Time for which an unlisted worker without runs is remembered. Orders to it may still be carried out, and if it returns meanwhile, its
    // fencing token must be above theirs.
    Milliseconds computeUnlistedRetention(const Parameters& parameters)
    {
        return parameters.maxOrderDelay + onLocalClock(parameters, parameters.maxLease);
    }

    void resetIncarnation(Worker& worker, IncarnationTime born)
    {
        worker.born = born;
        worker.clockMs.reset();
        worker.hasSeenFence = false;
        worker.lastSeenEnd = {};
        worker.lastCommittedEnd = {};
        worker.acknowledgedEnd = {};
        worker.polledEnd = {};
        worker.unansweredAckFence.reset();
        worker.uncommittedEnds.clear();
        worker.health = {};
        worker.paces.clear();
        worker.paceTrim = 1.0;
        worker.minSlacks.clear();
        worker.areEndsCut = false;
        worker.isHoldingEnds = false;
        worker.hasUnknownRuns = false;
        worker.missedPolls = 0;
        worker.isShownUp = false;
    }

    // Reports what an incarnation that was not seen to the end may still carry over to the next one.
    void reportOpenOrders(const State& state, const Worker& worker, Orders& orders)
    {
        const bool isFenceRaised = state.committedRevision > getFence(state, worker);
        orders.emplace_back(
            Decision { "worker_fence", {}, worker.id, isFenceRaised ? "raised" : "same", {}, state.committedRevision.value() });
        if (worker.polledEnd > worker.acknowledgedEnd)
            orders.emplace_back(Decision { "worker_ack_open", {}, worker.id, "new_incarnation", {}, worker.polledEnd.value() });
    }

    void stopRunsOnDrainingWorker(State& state, Worker& worker, MonotonicTime now, Orders& orders)
    {
        if (now - worker.drainingSince < drainGracePeriod)
            return;
        const auto refs = worker.runs;
        std::ranges::for_each(refs, [&](const RunRef& ref) { stopRun(state, ref, StopReason::WorkerLeaving, now, orders); });
    }

} // namespace

void onNewIncarnation(State& state, Worker& worker, IncarnationTime born, MonotonicTime now, Orders& orders)
{
    const bool isFirstSeen = worker.born == IncarnationTime();
    orders.emplace_back(Decision { isFirstSeen ? "worker_seen" : "worker_restarted", {}, worker.id, "new_incarnation", {},
        static_cast<std::int64_t>(worker.runs.size()) });
    if (!isFirstSeen)
        reportOpenOrders(state, worker, orders);
    const auto earlier = worker.born;
    if (worker.missedPolls == 0)
        worker.silenceBeganAt = now;
    const auto loss = assessLoss(state, worker, worker.isDraining ? LossKind::Left : LossKind::Crashed);
    const auto refs = worker.runs;
    for (const auto& ref : refs) {
        auto* run = findRun(state, ref);
        if (!run || run->born == born)
            continue;
        // A start of an earlier leader can reach the new incarnation until that has seen the fencing token of this term. Its first
        // report tells whether the run exists there.
        if (run->phase == RunPhase::Unverified)
            continue;
        const bool isOfEarlierIncarnation = run->isListed || run->born != earlier;
        if (isUnsent(*run) || (isOfEarlierIncarnation && !mayArriveLate(*run))) {
            loseRun(state, ref, loss, now, orders);
            continue;
        }
        countCrash(state, ref, loss, now);
        run->isListed = false;
        // A stop that the earlier incarnation confirmed does not keep a delayed start from the new one.
        run->stopConfirmedAt.reset();
        run->startsExpireAt.reset();
        if (run->phase == RunPhase::Stopping)
            resendStop(ref, *run, now, orders);
        else
            stopRun(state, ref, StopReason::UncertainStart, now, orders);
    }
    worker.leaseEnd = computeMisdirectedLeaseEnd(state, worker);
    // The next incarnation refuses the orders for the former one that arrive after its first order.
    if (!isFirstSeen)
        raiseFence(state, worker);
    resetIncarnation(worker, born);
    // Until its first order under the new token, orders that were meant for the former incarnation are carried out.
    worker.nextPollAt = now;
}

bool isPlausible(IncarnationTime born, std::int64_t wallMs) { return born.value() <= wallMs + maxClockDifference.count(); }

void onWorkerListed(State& state, const WorkerEntry& entry, MonotonicTime now, Orders& orders)
{
    auto& worker = state.workers[entry.id];
    worker.id = entry.id;
    // The entry may be older than the worker's own last report.
    if (entry.born > worker.born)
        onNewIncarnation(state, worker, entry.born, now, orders);
    if (entry.born < worker.born)
        return;
    worker.listedBorn = entry.born;
    worker.service = entry.service;
    worker.address = entry.address;
    worker.domain = entry.domain;
    worker.rack = entry.rack;
    worker.labels = entry.labels;
    worker.capacity = entry.capacity;
    worker.isListed = true;
    worker.isEntryUnreadable = false;
    if (entry.isDraining && !worker.isDraining)
        worker.drainingSince = now;
    worker.isDraining = entry.isDraining;
}

void onWorkerUnlisted(State& state, const WorkerId& id, MonotonicTime now)
{
    auto* worker = findWorker(state, id);
    if (!worker || !worker->isListed)
        return;
    worker->isListed = false;
    worker->unlistedSince = now;
}

void onWorkerEntryUnreadable(State& state, const WorkerId& id)
{
    if (auto* worker = findWorker(state, id))
        worker->isEntryUnreadable = true;
}

void checkWorkers(State& state, MonotonicTime now, Orders& orders)
{
    for (auto& [id, worker] : state.workers) {
        if (worker.isDraining && worker.hasSeenFence)
            stopRunsOnDrainingWorker(state, worker, now, orders);
    }
    const auto retention = computeUnlistedRetention(state.parameters);
    std::erase_if(state.workers, [&](const auto& entry) {
        const auto& worker = entry.second;
        const bool isGone = !worker.isListed && worker.runs.empty() && !worker.isPollInFlight && now - worker.unlistedSince > retention;
        if (isGone) {
            state.claimedWorkers.erase(worker.id);
            state.workersAwaitingFence.erase(worker.id);
        }
        return isGone;
    });
}

} // namespace kingcuploom::scheduler
