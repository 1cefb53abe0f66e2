#include "OwnershipSnapshot.h"

#include <algorithm>

namespace kingcuploom {

using namespace ownership;

namespace {

    OwnershipSnapshot::Entry makeEntry(const State& state, const ShardId& id, const Shard& shard)
    {
        const auto& holding = *shard.holding;
        OwnedShard owned;
        owned.shard = id;
        owned.epoch = holding.epoch;
        owned.inFlightUntil = holding.inFlightUntil;
        owned.isPredecessorReleased = holding.predecessor.empty();
        owned.releasedAt = holding.releasedAt;
        owned.isDraining = holding.isDraining;
        return { owned, portionsOf(state, shard) };
    }

} // namespace

OwnershipSnapshot makeSnapshot(const State& state, std::uint64_t handledGaps)
{
    OwnershipSnapshot snapshot;
    snapshot.confirmedUntil = confirmedUntil(state);
    snapshot.handledGaps = handledGaps;
    snapshot.isLeaving = state.isLeaving;
    snapshot.hasLeft = hasLeft(state);
    snapshot.hasJoined = state.lease.registeredAt && state.membersListedAt && state.areShardsListed;
    for (const auto& [id, shard] : state.shards) {
        if (shard.holding)
            snapshot.owned.emplace(id, makeEntry(state, id, shard));
        if (shard.record && !shard.record->owner.empty())
            snapshot.owners.emplace(id, shard.record->owner.id.daemon);
    }
    std::ranges::transform(liveMembers(state), std::back_inserter(snapshot.members), [](const Member& member) {
        return MemberView { member.process.id.daemon, member.domain, member.leaving };
    });
    return snapshot;
}

OwnedShard ownedAt(const OwnershipSnapshot::Entry& entry, bool isConfirmed, MonotonicTime now)
{
    auto owned = entry.shard;
    owned.portion = isConfirmed ? entry.portions.confirmed : entry.portions.unconfirmed;
    if (owned.inFlightUntil && *owned.inFlightUntil <= now)
        owned.inFlightUntil.reset();
    return owned;
}

} // namespace kingcuploom
