#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "ownership/Actions.h"
#include "ownership/Events.h"
#include "ownership/Process.h"

#include <map>
#include <optional>
#include <set>

namespace kingcuploom::ownership {

struct Timing {
    Milliseconds lease { 5000 };
    Milliseconds margin { 500 };
    Milliseconds longestDeadline { 5000 };
    // Members must be unchanged for this time before shards move to balance the load.
    Milliseconds settle { 2000 };
};

// Test-only: names a guard to switch off, to show what it prevents.
enum class Guard {
    // Rule 2: an unconfirmed owner shrinks.
    ShrinkUnconfirmed,
    // Rule 3: a successor waits for the longest deadline after the lease.
    WaitAfterLapse,
    // Rules 3 and 4: a successor uses the reserve until the predecessor is released.
    ReserveOnly,
    // Rule 4: the requests of a predecessor that is gone count as busy.
    CountInFlight,
    // Rule 5: no further takeover while a predecessor is uncertain.
    WaitForUncertain,
    // Rule 6: a gap of the clock drops to unconfirmed.
    ClockGap,
    // After a new lease, own records are written anew before they count as confirmed.
    RewriteAfterLapse,
    // Members are read after the record and before a claim.
    ListBeforeClaim,
    // A shard is handed over only when nothing is in progress.
    Drain,
    // A handover whose answer was lost is not taken back.
    KeepUnknownHandover,
};

struct LeaseState {
    std::optional<LeaseId> lease;
    // Send time of the last call that renewed the lease.
    std::optional<MonotonicTime> renewedAt;
    // Revision of the first member record under this lease.
    std::optional<Revision> registeredAt;
    bool isRegisteredLeaving = false;
    Process blockedBy;
    bool isCallInFlight = false;
    // The last call did not reach the store or had no answer.
    bool isFailing = false;
    MonotonicTime nextCallAt {};
    std::uint64_t relaySequence = 0;
    std::map<std::uint64_t, std::pair<LeaseId, MonotonicTime>> relays;
};

// A shard that this process owns.
struct Holding {
    Epoch epoch;
    // Not known to be released; empty when there is none.
    Process predecessor;
    std::optional<MonotonicTime> inFlightUntil;
    MonotonicTime releasedAt {};
    bool isDraining = false;
    MonotonicTime drainingSince {};
    std::set<WorkPart> finished;
    // The handover was sent; nothing may be started until its result is known.
    bool isHandoverSent = false;
    // Its answer was lost: it may take effect as long as the record has the revision that it was sent for.
    bool isHandoverUnknown = false;
    Revision handoverRevision;
    // The record must be read again after a gap of the clock.
    bool needsRead = false;
};

// A shard that was lost to a successor, until this process has stopped using it.
struct Departure {
    Epoch epoch;
    MonotonicTime since {};
    std::set<WorkPart> finished;
    bool isReleased = false;
    MonotonicTime nextNoticeAt {};
};

// A claim whose result is not known yet.
struct PendingClaim {
    Epoch epoch;
    std::optional<MonotonicTime> inFlightUntil;
    OwnerChange change = OwnerChange::FirstClaim;
};

struct Shard {
    std::optional<ShardOwner> record;
    MonotonicTime recordSeenAt {};
    bool hasTargets = false;
    std::optional<Holding> holding;
    std::optional<Departure> departure;
    std::optional<PendingClaim> pendingClaim;
    bool isCallInFlight = false;
    MonotonicTime nextCallAt {};
};

// All that one daemon knows about members and owners. Changed by decide() only.
struct State {
    Process self;
    FailureDomain domain;
    Timing timing;
    Random random { 1 };
    std::set<WorkPart> parts { WorkPart::Requests, WorkPart::Tasks };
    std::set<Guard> disabledGuards;

    LeaseState lease;
    bool isLeaving = false;
    // Last reading of the monotonic clock.
    std::optional<MonotonicTime> lastReading;
    // A renewal sent later ends the effect of a clock gap.
    std::optional<MonotonicTime> gapAt;

    std::map<DaemonId, Member> members;
    Revision membersRevision;
    // When the last list was sent.
    std::optional<MonotonicTime> membersListedAt;
    bool isMemberListInFlight = false;
    MonotonicTime nextMemberListAt {};
    MonotonicTime membersChangedAt {};
    // When a process that owns a shard was first seen to be no member.
    std::map<ProcessId, MonotonicTime> missingSince;
    std::map<ProcessId, MonotonicTime> goneSince;
    std::set<ProcessId> reachable;
    std::set<DaemonId> delisted;

    bool areShardsListed = false;
    std::map<ShardId, Shard> shards;
    // Highest epoch below which a process has said that it uses nothing.
    std::map<std::pair<ShardId, ProcessId>, Epoch> released;
};

} // namespace kingcuploom::ownership
