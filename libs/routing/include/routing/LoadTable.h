#pragma once

#include "routing/ShardChoice.h"

#include "base/Clock.h"
#include "schema/generated/link_generated.h"

#include <map>

namespace kingcuploom::routing {

// Last known load of one service in one shard.
struct ShardLoad {
    Epoch epoch;
    int freeSlots = 0;
    int totalSlots = 0;
    int queued = 0;
    MonotonicTime receivedAt {};
    // Requests that this daemon has sent to the shard since; the figure does not contain them.
    int sentSinceUpdate = 0;
};

using LoadTable = std::map<std::pair<ServiceName, ShardId>, ShardLoad>;

// Ignores figures of an owner that has been succeeded.
void observe(LoadTable&, const schema::LoadFigureT&, MonotonicTime now);
void countSent(LoadTable&, const ServiceName&, const ShardId&);

// Completes the candidate with the figures; without any, or with an expired one, it counts as having nothing free.
void applyLoad(const LoadTable&, const ServiceName&, ShardCandidate&, MonotonicTime now);

// Most spare slots of any candidate that may take work.
int maxSpareSlots(const std::vector<ShardCandidate>&);

} // namespace kingcuploom::routing
