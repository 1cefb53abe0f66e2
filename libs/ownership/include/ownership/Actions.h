#pragma once

#include "ownership/Process.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kingcuploom::ownership {

// Store calls for the own lease; one at a time. Each ends in a lease event.
struct GrantLease { };
struct RenewLease {
    LeaseId lease;
};
// Writes the member record under the lease. A record of another process is replaced only when it is the one named here.
struct RegisterMember {
    LeaseId lease;
    bool leaving = false;
    ProcessId replaces;
};

// Reads all member records; ends in MembersListed or MembersUnknown.
struct ListMembers { };

// Store calls for one shard, one at a time per shard. Each ends in ShardSeen (if a record is known) and ShardCallEnded.
struct ReadShard {
    ShardId shard;
};
// One compare-and-swap, sent only when the record still has this owner and epoch, and this version if one is given.
struct WriteShard {
    ShardId shard;
    ProcessId expectedOwner;
    Epoch expectedEpoch;
    std::optional<WriteId> expectedVersion;
    // What the record says after the write.
    Process owner;
    Epoch epoch;
    Process predecessor;
};

// Asks a peer to renew the own lease; ends in RelayAnswered or nothing.
struct RequestRelay {
    DaemonId peer;
    LeaseId lease;
    std::uint64_t sequence = 0;
};

struct SendNotice {
    DaemonId peer;
    ShardId shard;
    Epoch epoch;
    bool released = false;
};

enum class OwnerChange {
    FirstClaim,
    ClaimAfterRelease,
    ClaimPredecessorGone,
    ClaimLeaseLapsed,
    HandedOver,
    ReleasedWithoutSuccessor,
    PredecessorReleased,
    Lost,
};

const char* toString(OwnerChange);

struct AuditOwner {
    ShardId shard;
    OwnerChange change;
    Process owner;
    Epoch epoch;
    Process predecessor;
    // key=value pairs.
    std::string figures;
};

using Action
    = std::variant<GrantLease, RenewLease, RegisterMember, ListMembers, ReadShard, WriteShard, RequestRelay, SendNotice, AuditOwner>;
using Actions = std::vector<Action>;

} // namespace kingcuploom::ownership
