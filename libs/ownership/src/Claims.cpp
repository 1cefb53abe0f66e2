#include "Steps.h"

namespace kingcuploom::ownership {

namespace {

    // Interval of member lists while claims wait for one.
    constexpr Milliseconds memberListInterval { 200 };

    struct Claim {
        Process predecessor;
        std::optional<MonotonicTime> inFlightUntil;
        OwnerChange change = OwnerChange::FirstClaim;
    };

    // End of the requests that a process may have left in flight when it went.
    std::optional<MonotonicTime> inFlightEnd(const State& state, const ProcessId& process)
    {
        const auto it = state.goneSince.find(process);
        if (it == state.goneSince.end() || !isEnabled(state, Guard::CountInFlight))
            return std::nullopt;
        return it->second + state.timing.longestDeadline;
    }

    bool isReleased(const State& state, const ShardId& shard, const ShardOwner& record)
    {
        const auto& predecessor = record.predecessor.id;
        if (predecessor.empty() || predecessor == state.self.id || isGone(state, predecessor))
            return true;
        const auto it = state.released.find({ shard, predecessor });
        return it != state.released.end() && it->second >= record.epoch;
    }

    // A process that owned the shard without knowing may still use it for the longest deadline.
    std::optional<MonotonicTime> ownInFlightEnd(const State& state, const Shard& shard)
    {
        if (!shard.departure || shard.departure->isReleased || !isEnabled(state, Guard::CountInFlight))
            return std::nullopt;
        return shard.departure->since + state.timing.longestDeadline;
    }

    // The owner is gone: nothing has to lapse, but its requests may still be in flight.
    Claim claimOfGone(const State& state, const Shard& shard)
    {
        const auto& record = *shard.record;
        const auto until
            = std::max({ inFlightEnd(state, record.owner.id), inFlightEnd(state, record.predecessor.id), ownInFlightEnd(state, shard) });
        return { {}, until, OwnerChange::ClaimPredecessorGone };
    }

    // Members must have been read after the record: a returned owner registers before it writes its records anew, so either the
    // list shows it or the compare-and-swap fails.
    bool requestMemberList(State& state, const Shard& shard, MonotonicTime now, Actions& actions)
    {
        if (!isEnabled(state, Guard::ListBeforeClaim))
            return false;
        if (state.membersListedAt && *state.membersListedAt > shard.recordSeenAt)
            return false;
        if (!state.isMemberListInFlight && now >= state.nextMemberListAt) {
            state.isMemberListInFlight = true;
            state.nextMemberListAt = now + memberListInterval;
            actions.push_back(ListMembers {});
        }
        return true;
    }

    // The owner's lease has lapsed, but the process may only be frozen or cut off.
    std::optional<Claim> claimOfLapsed(State& state, const Shard& shard, MonotonicTime now, Actions& actions)
    {
        const auto& record = *shard.record;
        const auto missing = state.missingSince.find(record.owner.id);
        if (missing == state.missingSince.end())
            return std::nullopt;
        // The owner may have come back and lapsed again between two looks at the members; it then wrote the record anew.
        const auto since = std::max(missing->second, shard.recordSeenAt);
        const auto wait = state.timing.longestDeadline + state.timing.margin;
        if (isEnabled(state, Guard::WaitAfterLapse) && now < since + wait)
            return std::nullopt;
        // The reserve alone must not meet requests of an older predecessor on top of the owner's larger portion.
        const auto olderEnd = std::max(inFlightEnd(state, record.predecessor.id), ownInFlightEnd(state, shard));
        if (olderEnd && now < *olderEnd)
            return std::nullopt;
        if (requestMemberList(state, shard, now, actions))
            return std::nullopt;
        return Claim { record.owner, std::nullopt, OwnerChange::ClaimLeaseLapsed };
    }

    std::optional<Claim> claimOf(State& state, const ShardId& id, const Shard& shard, MonotonicTime now, Actions& actions)
    {
        if (!shard.record)
            return Claim {};
        const auto& record = *shard.record;
        // Released without successor: the claim takes the place of that owner, with the same predecessor.
        if (record.owner.empty()) {
            const bool isFree = isReleased(state, id, record);
            const auto until = std::max(inFlightEnd(state, record.predecessor.id), ownInFlightEnd(state, shard));
            return Claim { isFree ? Process() : record.predecessor, until, OwnerChange::ClaimAfterRelease };
        }
        if (record.owner.id == state.self.id)
            return std::nullopt;
        if (isEnabled(state, Guard::WaitForUncertain) && !isReleased(state, id, record))
            return std::nullopt;
        if (isGone(state, record.owner.id))
            return claimOfGone(state, shard);
        return claimOfLapsed(state, shard, now, actions);
    }

} // namespace

void sendWrite(Shard& shard, Actions& actions, WriteShard write)
{
    shard.isCallInFlight = true;
    actions.push_back(std::move(write));
}

void evaluateClaim(State& state, const ShardId& id, Shard& shard, MonotonicTime now, Actions& actions)
{
    const bool mayCall = state.areShardsListed && !shard.isCallInFlight && now >= shard.nextCallAt;
    const bool isWanted = shard.hasTargets || shard.record;
    if (!mayCall || !isWanted || state.isLeaving || !isConfirmed(state, now))
        return;
    // Before the search for the desired owner, because this holds for almost all shards.
    if (shard.record && isLiveMember(state, shard.record->owner.id))
        return;
    if (desiredOwner(state, id) != state.self.id.daemon)
        return;
    const auto claim = claimOf(state, id, shard, now, actions);
    if (!claim)
        return;
    const auto previous = shard.record.value_or(ShardOwner());
    shard.pendingClaim = PendingClaim { previous.epoch.next(), claim->inFlightUntil, claim->change };
    sendWrite(
        shard, actions, { id, previous.owner.id, previous.epoch, previous.writeId, state.self, previous.epoch.next(), claim->predecessor });
}

} // namespace kingcuploom::ownership
