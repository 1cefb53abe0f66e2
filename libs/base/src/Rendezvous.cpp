#include "base/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace kingcuploom {

namespace {

    XXH64_hash_t weight(std::string_view key, const DaemonId& member)
    {
        const auto seed = XXH3_64bits(key.data(), key.size());
        return XXH3_64bits_withSeed(member.value().data(), member.value().size(), seed);
    }

} // namespace

std::optional<DaemonId> rendezvousOwner(std::string_view key, const std::vector<DaemonId>& members)
{
    const auto best = std::ranges::max_element(members, {}, [&](const DaemonId& member) { return weight(key, member); });
    if (best == members.end())
        return std::nullopt;
    return *best;
}

double rendezvousScore(std::string_view key, const DaemonId& member, double weightFactor)
{
    // Maps the upper 53 bits of the hash, all that a double holds, to the open interval from 0 to 1.
    constexpr int droppedBits = 11;
    constexpr double steps = 9007199254740992.0;
    const auto uniform = (static_cast<double>(weight(key, member) >> droppedBits) + 0.5) / steps;
    return -weightFactor / std::log(uniform);
}

} // namespace kingcuploom
