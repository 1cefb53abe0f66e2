#include "routing/ShardChoice.h"

#include <numeric>

namespace kingcuploom::routing {

namespace {

    // Shards in the local failure domain are preferred, to save a hop between domains, while at least this share of their slots is spare.
    // Below it, the risk that the load figure is stale and the request has to wait costs more than the hop.
    constexpr int minLocalSparePerMille = 150;

    bool isEligible(const ShardCandidate& it) { return !it.isOutOfService && it.isOwnerReachable && it.totalSlots > 0; }

    bool isLocalWithSpare(const ShardCandidate& it, const FailureDomain& own)
    {
        return it.domain == own && spareSlots(it) * 1000 >= it.totalSlots * minLocalSparePerMille;
    }

    // Draws with a probability proportional to the slots, so that a small shard does not get as many requests as a large one.
    std::size_t drawBySlots(const std::vector<ShardCandidate>& all, const std::vector<std::size_t>& eligible, Random& random)
    {
        const auto sum = std::accumulate(eligible.begin(), eligible.end(), std::uint64_t(0),
            [&](auto total, auto i) { return total + std::uint64_t(all[i].totalSlots); });
        auto ticket = random.below(sum);
        for (const auto i : eligible) {
            const auto slots = std::uint64_t(all[i].totalSlots);
            if (ticket < slots)
                return i;
            ticket -= slots;
        }
        return eligible.back();
    }

    template <typename Filter> std::vector<std::size_t> findIndices(const std::vector<ShardCandidate>& all, Filter filter)
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (filter(all[i]))
                result.push_back(i);
        }
        return result;
    }

    std::size_t betterOfTwo(const std::vector<ShardCandidate>& all, const std::vector<std::size_t>& eligible, Random& random)
    {
        const auto first = drawBySlots(all, eligible, random);
        const auto second = drawBySlots(all, eligible, random);
        return spareSlots(all[second]) > spareSlots(all[first]) ? second : first;
    }

} // namespace

int spareSlots(const ShardCandidate& it) { return it.freeSlots - it.queued; }

std::optional<std::size_t> chooseShard(
    const std::vector<ShardCandidate>& all, const FailureDomain& own, Random& random, ShardChoiceRule rule)
{
    const auto eligible = findIndices(all, isEligible);
    if (eligible.empty())
        return std::nullopt;
    if (rule == ShardChoiceRule::RandomOnly)
        return drawBySlots(all, eligible, random);
    const auto local = findIndices(all, [&](const auto& it) { return isEligible(it) && isLocalWithSpare(it, own); });
    if (!local.empty())
        return betterOfTwo(all, local, random);
    return betterOfTwo(all, eligible, random);
}

} // namespace kingcuploom::routing
