#pragma once

#include "base/Clock.h"
#include "ownership/Process.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace kingcuploom::ownership {

// Parts of a daemon that must finish with a shard before it changes hands.
enum class WorkPart {
    Requests,
    Tasks,
};

// Time passed; send at least every quarter of the margin.
struct Tick { };

// Results of store calls for the lease. "sentAt" is read before the call was sent.
struct LeaseGranted {
    LeaseId lease;
    MonotonicTime sentAt;
};
struct LeaseRenewed {
    LeaseId lease;
    MonotonicTime sentAt;
};
struct LeaseMissing {
    LeaseId lease;
};
struct LeaseCallFailed { };
struct MemberRegistered {
    LeaseId lease;
    Revision revision;
    bool leaving = false;
};
// The member record belongs to another process.
struct RegistrationBlocked {
    Process by;
};
struct RelayAnswered {
    std::uint64_t sequence = 0;
    bool renewed = false;
};

// Result of a linearizable read.
struct MembersListed {
    std::vector<Member> members;
    Revision storeRevision;
    MonotonicTime sentAt;
};
struct MembersUnknown { };
// Seen by a watch, possibly late.
struct MemberChanged {
    Member member;
    Revision revision;
};
struct MemberRemoved {
    DaemonId daemon;
    Revision revision;
};

// Result of the first list: records that are not among the events before it do not exist.
struct ShardsListed { };
// A record as read, watched or written.
struct ShardSeen {
    ShardId shard;
    ShardOwner record;
    // When the read was sent; nothing for a watch, whose events may be late.
    std::optional<MonotonicTime> readSentAt;
};
enum class CallResult {
    Done,
    NotWritten,
    // The write may still take effect.
    Unknown,
};
struct ShardCallEnded {
    ShardId shard;
    CallResult result = CallResult::Done;
};
// Shards that have targets.
struct TargetsListed {
    std::set<ShardId> shards;
};

// The process is known to be gone.
struct ProcessGone {
    ProcessId process;
};
// Daemons that the platform has stopped listing. Processes of these ids that are known so far are gone.
struct DaemonsGone {
    std::set<DaemonId> daemons;
};
struct PeerReachable {
    ProcessId process;
    bool reachable = false;
};
struct NoticeReceived {
    ProcessId from;
    ShardId shard;
    Epoch epoch;
    bool released = false;
};

struct WorkFinished {
    ShardId shard;
    Epoch epoch;
    WorkPart part = WorkPart::Requests;
};
struct LeaveRequested { };

using Event = std::variant<Tick, LeaseGranted, LeaseRenewed, LeaseMissing, LeaseCallFailed, MemberRegistered, RegistrationBlocked,
    RelayAnswered, MembersListed, MembersUnknown, MemberChanged, MemberRemoved, ShardsListed, ShardSeen, ShardCallEnded, TargetsListed,
    ProcessGone, DaemonsGone, PeerReachable, NoticeReceived, WorkFinished, LeaveRequested>;

} // namespace kingcuploom::ownership
