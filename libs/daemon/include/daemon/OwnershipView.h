#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "ownership/Portion.h"

#include <optional>
#include <vector>

namespace kingcuploom {

struct OwnedShard {
    ShardId shard;
    Epoch epoch;
    Portion portion = Portion::None;
    // Until then, slots that the predecessor may still use count as busy unless the target's status shows otherwise.
    std::optional<MonotonicTime> inFlightUntil;
    // False while the predecessor may still renew task leases.
    bool isPredecessorReleased = true;
    // When the predecessor was known to be released (or the claim, without one).
    MonotonicTime releasedAt {};
    // The shard is to be handed over: finish what is in progress, start nothing.
    bool isDraining = false;
};

struct MemberView {
    DaemonId daemon;
    FailureDomain domain;
    bool leaving = false;
};

// Read access to shard ownership. Thread-safe and cheap: called for every request and start.
class OwnershipView {
public:
    virtual ~OwnershipView() = default;

    // What this daemon owns now. Checks the monotonic clock on every call (see docs/design.md, section 4.2, rules 2 and 6).
    virtual std::vector<OwnedShard> ownedShards() const = 0;
    virtual std::optional<OwnedShard> owned(const ShardId&) const = 0;

    // Daemon that owns the shard as far as this one knows.
    virtual std::optional<DaemonId> ownerOf(const ShardId&) const = 0;

    // Live members, this one included.
    virtual std::vector<MemberView> members() const = 0;

    // True from the start of the graceful shutdown on.
    virtual bool isLeaving() const = 0;
};

} // namespace kingcuploom
