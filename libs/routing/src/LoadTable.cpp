#include "routing/LoadTable.h"

#include <algorithm>

namespace kingcuploom::routing {

namespace {

    // 20 missed heartbeats of 100 ms. Free slots in older figures are not used for shard selection.
    constexpr std::chrono::milliseconds loadFigureTtl { 2000 };

} // namespace

void observe(LoadTable& table, const schema::LoadFigureT& figure, MonotonicTime now)
{
    auto& load = table[{ ServiceName(figure.service), ShardId(figure.shard) }];
    const Epoch epoch(figure.epoch);
    if (epoch < load.epoch)
        return;
    load = { epoch, figure.free_slots, figure.total_slots, int(figure.queued), now, 0 };
}

void countSent(LoadTable& table, const ServiceName& service, const ShardId& shard)
{
    const auto it = table.find({ service, shard });
    if (it != table.end())
        ++it->second.sentSinceUpdate;
}

void applyLoad(const LoadTable& table, const ServiceName& service, ShardCandidate& candidate, MonotonicTime now)
{
    const auto it = table.find({ service, candidate.shard });
    if (it == table.end() || now - it->second.receivedAt > loadFigureTtl)
        return;
    const auto& load = it->second;
    candidate.freeSlots = load.freeSlots;
    candidate.queued = load.queued + load.sentSinceUpdate;
    candidate.totalSlots = load.totalSlots;
}

int maxSpareSlots(const std::vector<ShardCandidate>& candidates)
{
    int best = 0;
    for (const auto& it : candidates) {
        if (!it.isOutOfService && it.isOwnerReachable)
            best = std::max(best, spareSlots(it));
    }
    return best;
}

} // namespace kingcuploom::routing
