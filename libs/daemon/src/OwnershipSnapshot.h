#pragma once

#include "daemon/OwnershipView.h"
#include "ownership/Decide.h"

#include <map>

namespace kingcuploom {

// What readers see of the ownership state. Immutable.
struct OwnershipSnapshot {
    struct Entry {
        OwnedShard shard;
        ownership::Portions portions;
    };

    MonotonicTime confirmedUntil {};
    // Clock gaps that the state has taken into account.
    std::uint64_t handledGaps = 0;
    std::map<ShardId, Entry> owned;
    std::map<ShardId, DaemonId> owners;
    std::vector<MemberView> members;
    bool isLeaving = false;
    bool hasLeft = false;
    bool hasJoined = false;
};

OwnershipSnapshot makeSnapshot(const ownership::State&, std::uint64_t handledGaps);

// The entry as of now. An end of the in-flight time that has passed is left out.
OwnedShard ownedAt(const OwnershipSnapshot::Entry&, bool isConfirmed, MonotonicTime now);

} // namespace kingcuploom
