#pragma once

#include "base/Ids.h"
#include "base/Random.h"

#include <optional>
#include <vector>

namespace kingcuploom::routing {

// Load of a shard that serves the requested service, as known to the ingress daemon. The values may be stale.
struct ShardCandidate {
    ShardId shard;
    FailureDomain domain;
    int totalSlots = 0;
    int freeSlots = 0;
    int queued = 0;
    bool isOutOfService = false;
    bool isOwnerReachable = true;
};

enum class ShardChoiceRule {
    PowerOfTwo,
    // Used only by the benchmark, as a baseline.
    RandomOnly,
};

// Returns the index of the chosen candidate, or nothing if none is eligible.
std::optional<std::size_t> chooseShard(
    const std::vector<ShardCandidate>&, const FailureDomain& own, Random&, ShardChoiceRule = ShardChoiceRule::PowerOfTwo);

// Free slots minus queued requests; negative if more requests are queued than slots are free.
int spareSlots(const ShardCandidate&);

} // namespace kingcuploom::routing
