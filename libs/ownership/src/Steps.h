#pragma once

#include "ownership/Decide.h"

#include <algorithm>

// Parts of decide(). All change the state and append actions.
namespace kingcuploom::ownership {

inline bool isEnabled(const State& state, Guard guard) { return !state.disabledGuards.contains(guard); }

inline bool isGone(const State& state, const ProcessId& process) { return state.goneSince.contains(process); }

bool isMember(const State&, const ProcessId&);
bool isLiveMember(const State&, const ProcessId&);

// Lease, registration and relays.
void applyLease(State&, const LeaseGranted&, MonotonicTime now);
void applyLease(State&, const LeaseRenewed&, MonotonicTime now);
void applyLease(State&, const LeaseMissing&, MonotonicTime now);
void applyLease(State&, const LeaseCallFailed&, MonotonicTime now, Actions&);
void applyLease(State&, const MemberRegistered&, MonotonicTime now);
void applyLease(State&, const RegistrationBlocked&, MonotonicTime now);
void applyLease(State&, const RelayAnswered&);
void evaluateLease(State&, MonotonicTime now, Actions&);

// Drops to unconfirmed when this process has been paused.
void observeClock(State&, MonotonicTime now);

// Members and what is known of processes.
void applyMembers(State&, const MembersListed&, MonotonicTime now);
void applyMembers(State&, const MemberChanged&, MonotonicTime now);
void applyMembers(State&, const MemberRemoved&, MonotonicTime now);
void applyMembers(State&, const DaemonsGone&, MonotonicTime now);
void applyMembers(State&, const PeerReachable&);
void markGone(State&, const ProcessId&, MonotonicTime now);
// The own address is bound by this process, so an earlier one cannot run there any more.
void markIfReplaced(State&, const Process&, MonotonicTime now);
void evaluateMembers(State&, MonotonicTime now);

// Records: taking over, losing, finishing.
void applyShard(State&, const ShardSeen&, MonotonicTime now, Actions&);
void applyShard(State&, const ShardCallEnded&, MonotonicTime now);
void applyShard(State&, const NoticeReceived&, Actions&);
void applyShard(State&, const WorkFinished&);

// A claim of a shard of another process, or of none.
void evaluateClaim(State&, const ShardId&, Shard&, MonotonicTime now, Actions&);

// Predecessor, confirmation and handover of an own shard.
void evaluateHolding(State&, const ShardId&, Shard&, MonotonicTime now, Actions&);

// Notices for a lost shard.
void evaluateDeparture(State&, const ShardId&, Shard&, MonotonicTime now, Actions&);

// Marks the call as under way.
void sendWrite(Shard&, Actions&, WriteShard);

} // namespace kingcuploom::ownership
