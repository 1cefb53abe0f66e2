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
    // Requests that this daemon has sent to the shard since the last update, which does not include them.
    int sentSinceUpdate = 0;
};

using LoadTable = std::map<std::pair<ServiceName, ShardId>, ShardLoad>;

// Stores a load figure. Figures from an older epoch are ignored, since another owner has taken over the shard.
void observe(LoadTable&, const schema::LoadFigureT&, MonotonicTime now);

// Counts a request sent to the shard.
void countSent(LoadTable&, const ServiceName&, const ShardId&);

// Sets the load of the candidate from the table. Leaves it unchanged, by default with no free slots, if the load is unknown or expired.
void applyLoad(const LoadTable&, const ServiceName&, ShardCandidate&, MonotonicTime now);

// Maximum number of spare slots among the candidates in service with a reachable owner; at least 0.
int maxSpareSlots(const std::vector<ShardCandidate>&);

} // namespace kingcuploom::routing
