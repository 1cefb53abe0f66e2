#pragma once

#include "ownership/Actions.h"
#include "ownership/Events.h"
#include "ownership/Portion.h"
#include "ownership/State.h"

namespace kingcuploom::ownership {

// Applies the event and returns what is to be done now (rules of docs/design.md, section 4.2).
Actions decide(State&, const Event&, MonotonicTime now);

// The last renewal was sent less than the lease time minus the margin ago, and no clock gap came after it.
bool isConfirmed(const State&, MonotonicTime now);

// End of the confirmed time as far as known; a time in the past when not confirmed.
MonotonicTime confirmedUntil(const State&);

// Portion of the shard's targets that may be used now.
Portion portionOf(const State&, const ShardId&, MonotonicTime now);

// The portion of the shard while the lease is confirmed and while it is not.
struct Portions {
    Portion confirmed = Portion::None;
    Portion unconfirmed = Portion::None;
};
Portions portionsOf(const State&, const Shard&);

// Live members, without those known to be gone.
std::vector<Member> liveMembers(const State&);

// Who should own the shard.
std::optional<DaemonId> desiredOwner(const State&, const ShardId&);

// Peers to keep connections to: members, and the owners and predecessors in records that are not known to be gone.
std::vector<Process> observedProcesses(const State&);

// No shard is held or owes a notice, and no call is under way.
bool hasLeft(const State&);

} // namespace kingcuploom::ownership
