#include "Steps.h"

#include "base/Rendezvous.h"

#include <sstream>

namespace kingcuploom::ownership {

namespace {

    // Shards that one daemon drains at the same time to balance the load. While it leaves, half of its shards drain at once, so that
    // two rounds of the longest deadline suffice.
    constexpr std::size_t maxBalancingHandovers = 2;
    // After a failed call; half of it is random, so that claims do not rush at a store that recovers.
    constexpr std::uint64_t retryDelayMs = 600;
    constexpr Milliseconds noticeInterval { 500 };

    bool hasFinished(const State& state, const std::set<WorkPart>& finished, MonotonicTime since, MonotonicTime now)
    {
        return std::ranges::includes(finished, state.parts) || now >= since + state.timing.longestDeadline + state.timing.margin;
    }

    std::string figuresOf(const Holding& holding, MonotonicTime now)
    {
        std::ostringstream out;
        if (holding.inFlightUntil && *holding.inFlightUntil > now)
            out << "in_flight_ms=" << std::chrono::duration_cast<Milliseconds>(*holding.inFlightUntil - now).count();
        return out.str();
    }

    void acquire(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
    {
        const auto& record = *shard.record;
        Holding holding;
        holding.epoch = record.epoch;
        holding.releasedAt = now;
        holding.predecessor = record.predecessor;
        const bool isOwnClaim = shard.pendingClaim && shard.pendingClaim->epoch == record.epoch;
        if (isOwnClaim)
            holding.inFlightUntil = shard.pendingClaim->inFlightUntil;
        if (record.predecessor.id == state.self.id) {
            holding.predecessor = {};
            holding.inFlightUntil = std::max(holding.inFlightUntil, std::optional(now + state.timing.longestDeadline));
        }
        const auto change = isOwnClaim ? shard.pendingClaim->change : OwnerChange::HandedOver;
        actions.push_back(AuditOwner { id, change, record.owner, record.epoch, record.predecessor, figuresOf(holding, now) });
        shard.holding = holding;
        shard.departure.reset();
        shard.pendingClaim.reset();
    }

    void lose(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
    {
        const auto& record = *shard.record;
        const bool isHandedOver = shard.holding->isHandoverSent && record.predecessor.id != state.self.id;
        Departure departure { shard.holding->epoch, now, shard.holding->finished };
        if (isHandedOver) {
            departure.isReleased = true;
            if (!record.owner.empty())
                actions.push_back(SendNotice { record.owner.id.daemon, id, record.epoch, true });
            else
                actions.push_back(AuditOwner { id, OwnerChange::ReleasedWithoutSuccessor, {}, record.epoch, record.predecessor, {} });
        } else {
            departure.finished.clear();
            actions.push_back(AuditOwner { id, OwnerChange::Lost, record.owner, record.epoch, record.predecessor, {} });
        }
        shard.holding.reset();
        shard.departure = departure;
    }

    void resolvePredecessor(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
    {
        auto& holding = *shard.holding;
        if (holding.predecessor.empty())
            return;
        const auto gone = state.goneSince.find(holding.predecessor.id);
        const auto notice = state.released.find({ id, holding.predecessor.id });
        const bool isNoticed = notice != state.released.end() && notice->second >= holding.epoch;
        if (gone == state.goneSince.end() && !isNoticed)
            return;
        if (!isNoticed && isEnabled(state, Guard::CountInFlight))
            holding.inFlightUntil = std::max(holding.inFlightUntil, std::optional(gone->second + state.timing.longestDeadline));
        holding.releasedAt = now;
        actions.push_back(
            AuditOwner { id, OwnerChange::PredecessorReleased, state.self, holding.epoch, holding.predecessor, figuresOf(holding, now) });
        holding.predecessor = {};
    }

    std::size_t drainingCount(const State& state)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            state.shards, [](const auto& entry) { return entry.second.holding && entry.second.holding->isDraining; }));
    }

    std::size_t drainingLimit(const State& state)
    {
        if (!state.isLeaving)
            return maxBalancingHandovers;
        const auto held = std::ranges::count_if(state.shards, [](const auto& entry) { return entry.second.holding.has_value(); });
        return static_cast<std::size_t>(held + 1) / 2;
    }

    // Member that takes the shard over; only one that answers now.
    std::optional<Process> successorOf(const State& state, const ShardId& id)
    {
        std::vector<DaemonId> candidates;
        for (const auto& member : liveMembers(state)) {
            if (!member.leaving && state.reachable.contains(member.process.id))
                candidates.push_back(member.process.id.daemon);
        }
        const auto successor = rendezvousOwner(id.value(), candidates);
        if (!successor)
            return std::nullopt;
        return state.members.at(*successor).process;
    }

    // Process that the shard should go to; an empty one means a release without successor.
    std::optional<Process> handoverTarget(const State& state, const ShardId& id, MonotonicTime now)
    {
        if (state.isLeaving)
            return successorOf(state, id).value_or(Process());
        if (!isConfirmed(state, now) || state.lease.isFailing || now < state.membersChangedAt + state.timing.settle)
            return std::nullopt;
        const auto desired = desiredOwner(state, id);
        if (!desired || *desired == state.self.id.daemon)
            return std::nullopt;
        const auto& target = state.members.at(*desired).process;
        return state.reachable.contains(target.id) ? std::optional(target) : std::nullopt;
    }

    // A handover that is sent while the store is down has no known result, and the shard then stands still until the store is back.
    // One that only balances the load is therefore sent right after a renewal.
    bool isStoreAnswering(State& state, MonotonicTime now)
    {
        if (state.isLeaving || (state.lease.renewedAt && now - *state.lease.renewedAt <= state.timing.margin))
            return true;
        state.lease.nextCallAt = std::min(state.lease.nextCallAt, now);
        return false;
    }

    bool mayCall(const Shard& shard, MonotonicTime now) { return !shard.isCallInFlight && now >= shard.nextCallAt; }

    WriteShard ownWrite(const State& state, const ShardId& id, const Shard& shard)
    {
        const auto& holding = *shard.holding;
        return { id, state.self.id, holding.epoch, std::nullopt, state.self, holding.epoch, holding.predecessor };
    }

    // True when a shard is or will be on its way to another daemon.
    bool evaluateHandover(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
    {
        auto& holding = *shard.holding;
        const auto target = handoverTarget(state, id, now);
        if (!target) {
            holding.isDraining = holding.isHandoverSent && isEnabled(state, Guard::KeepUnknownHandover);
            return false;
        }
        if (!holding.isDraining) {
            if (drainingCount(state) >= drainingLimit(state))
                return false;
            holding.isDraining = true;
            holding.drainingSince = now;
            holding.finished.clear();
        }
        const bool isDrained = hasFinished(state, holding.finished, holding.drainingSince, now) || !isEnabled(state, Guard::Drain);
        // The record does not carry the in-flight time of an earlier owner, so the next owner would not count those requests.
        const bool isInFlight = holding.inFlightUntil && now < *holding.inFlightUntil;
        if (isInFlight || !isDrained || !mayCall(shard, now) || !isStoreAnswering(state, now))
            return true;
        holding.isHandoverSent = true;
        holding.handoverRevision = shard.record->revision;
        auto write = ownWrite(state, id, shard);
        write.owner = *target;
        write.epoch = holding.epoch.next();
        sendWrite(shard, actions, write);
        return true;
    }

    // The record must be written anew when the lease that it was written under has lapsed, when it names a predecessor that is
    // released, and when a handover of unknown result is to be taken back.
    bool needsWrite(const State& state, const Shard& shard)
    {
        const auto& holding = *shard.holding;
        const bool isOlderThanLease = state.lease.registeredAt && shard.record->revision < *state.lease.registeredAt;
        return isOlderThanLease || shard.record->predecessor.id != holding.predecessor.id || holding.isHandoverUnknown;
    }

} // namespace

const char* toString(OwnerChange change)
{
    switch (change) {
    case OwnerChange::FirstClaim:
        return "first_claim";
    case OwnerChange::ClaimAfterRelease:
        return "claim_after_release";
    case OwnerChange::ClaimPredecessorGone:
        return "claim_predecessor_gone";
    case OwnerChange::ClaimLeaseLapsed:
        return "claim_lease_lapsed";
    case OwnerChange::HandedOver:
        return "handed_over";
    case OwnerChange::ReleasedWithoutSuccessor:
        return "released_without_successor";
    case OwnerChange::PredecessorReleased:
        return "predecessor_released";
    case OwnerChange::Lost:
        return "lost";
    }
    return "unknown";
}

Portions portionsOf(const State& state, const Shard& shard)
{
    if (!shard.holding)
        return {};
    const auto& holding = *shard.holding;
    if (holding.isHandoverSent && isEnabled(state, Guard::KeepUnknownHandover))
        return {};
    if (!holding.predecessor.empty() && isEnabled(state, Guard::ReserveOnly))
        return { Portion::Reserve, Portion::Reserve };
    // A record older than the own registration may have been claimed while the previous lease had lapsed.
    const bool isCurrent = state.lease.registeredAt && shard.record->revision > *state.lease.registeredAt;
    const bool isWritten = isCurrent || !isEnabled(state, Guard::RewriteAfterLapse);
    const auto unconfirmed = isEnabled(state, Guard::ShrinkUnconfirmed) ? Portion::Primary : Portion::Whole;
    return { isWritten && !holding.needsRead ? Portion::Whole : unconfirmed, unconfirmed };
}

Portion portionOf(const State& state, const ShardId& id, MonotonicTime now)
{
    const auto it = state.shards.find(id);
    if (it == state.shards.end())
        return Portion::None;
    const auto portions = portionsOf(state, it->second);
    return isConfirmed(state, now) ? portions.confirmed : portions.unconfirmed;
}

bool hasLeft(const State& state)
{
    const auto isBusy = [](const auto& entry) {
        const auto& shard = entry.second;
        return shard.holding || (shard.departure && !shard.departure->isReleased) || shard.isCallInFlight;
    };
    return state.isLeaving && std::ranges::none_of(state.shards, isBusy);
}

void applyShard(State& state, const ShardSeen& event, MonotonicTime now, Actions& actions)
{
    auto& shard = state.shards[event.shard];
    auto* holding = shard.holding ? &*shard.holding : nullptr;
    if (holding && event.readSentAt && (!state.gapAt || *event.readSentAt >= *state.gapAt))
        holding->needsRead = false;
    if (shard.record && event.record.revision <= shard.record->revision)
        return;
    const bool isSameVersion = shard.record && shard.record->writeId == event.record.writeId;
    shard.record = event.record;
    markIfReplaced(state, event.record.owner, now);
    markIfReplaced(state, event.record.predecessor, now);
    if (!isSameVersion)
        shard.recordSeenAt = now;
    const bool isOwn = event.record.owner.id == state.self.id;
    if (holding && (!isOwn || holding->epoch != event.record.epoch)) {
        lose(state, event.shard, shard, now, actions);
        holding = nullptr;
    }
    if (holding && event.record.revision > holding->handoverRevision) {
        // The key has moved on, so a delayed handover can no longer take effect.
        holding->isHandoverSent = holding->isHandoverSent && shard.isCallInFlight;
        holding->isHandoverUnknown = false;
    }
    if (isOwn && !holding)
        acquire(state, event.shard, shard, now, actions);
}

void applyShard(State& state, const ShardCallEnded& event, MonotonicTime now)
{
    auto& shard = state.shards[event.shard];
    shard.isCallInFlight = false;
    if (event.result != CallResult::Done)
        shard.nextCallAt = now + Milliseconds(static_cast<Milliseconds::rep>(retryDelayMs / 2 + state.random.below(retryDelayMs / 2)));
    if (!shard.holding || !shard.holding->isHandoverSent)
        return;
    auto& holding = *shard.holding;
    if (event.result == CallResult::Unknown)
        holding.isHandoverUnknown = true;
    // Sent for a revision that is still current and without effect, or overtaken by another write.
    holding.isHandoverSent = holding.isHandoverUnknown;
}

void applyShard(State& state, const NoticeReceived& event, Actions& actions)
{
    auto& shard = state.shards[event.shard];
    if (event.released) {
        auto& epoch = state.released[{ event.shard, event.from }];
        epoch = std::max(epoch, event.epoch);
    }
    const bool isNewer = !shard.record || shard.record->epoch < event.epoch;
    if (isNewer && !shard.isCallInFlight) {
        shard.isCallInFlight = true;
        actions.push_back(ReadShard { event.shard });
    }
}

void applyShard(State& state, const WorkFinished& event)
{
    const auto it = state.shards.find(event.shard);
    if (it == state.shards.end())
        return;
    auto& shard = it->second;
    if (shard.holding && shard.holding->isDraining && shard.holding->epoch == event.epoch)
        shard.holding->finished.insert(event.part);
    if (shard.departure && shard.departure->epoch == event.epoch)
        shard.departure->finished.insert(event.part);
}

void evaluateHolding(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
{
    resolvePredecessor(state, id, shard, now, actions);
    if (shard.holding->needsRead && mayCall(shard, now)) {
        shard.isCallInFlight = true;
        actions.push_back(ReadShard { id });
        return;
    }
    if (evaluateHandover(state, id, shard, now, actions))
        return;
    if (needsWrite(state, shard) && mayCall(shard, now))
        sendWrite(shard, actions, ownWrite(state, id, shard));
}

void evaluateDeparture(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
{
    const bool isNamed = shard.record && shard.record->predecessor.id == state.self.id && shard.record->owner.id != state.self.id;
    // A claim of this process took effect unnoticed and was overtaken by another one; nothing was started under it.
    if (isNamed && !shard.departure)
        shard.departure = Departure { shard.record->epoch, now, state.parts };
    if (!shard.departure)
        return;
    auto& departure = *shard.departure;
    departure.isReleased = departure.isReleased || hasFinished(state, departure.finished, departure.since, now);
    if (!departure.isReleased)
        return;
    if (!isNamed) {
        shard.departure.reset();
        return;
    }
    if (now < departure.nextNoticeAt)
        return;
    departure.nextNoticeAt = now + noticeInterval;
    std::set<DaemonId> targets;
    if (!shard.record->owner.empty())
        targets.insert(shard.record->owner.id.daemon);
    // The next claimant must know it as well, in case that the owner is gone.
    if (const auto desired = desiredOwner(state, id))
        targets.insert(*desired);
    targets.erase(state.self.id.daemon);
    for (const auto& target : targets)
        actions.push_back(SendNotice { target, id, shard.record->epoch, true });
}

} // namespace kingcuploom::ownership
