#include "relay/RelayChoice.h"

#include "base/Rendezvous.h"

#include <algorithm>

namespace kingcuploom::relay {

namespace {

    // A worker takes about a thousandth of a core and 64 kbit/s: starts, polls and paces.
    constexpr double workersPerCore = 1000;
    constexpr double workersPerMbps = 16;
    // A relay serves about this many workers, so that its frames to the leader carry several results each.
    constexpr std::size_t workersPerRelay = 32;
    // The second one takes over while the first does not answer.
    constexpr std::size_t minRelays = 2;
    // A leader calls a fleet of this size itself: it takes a few hundred connections, and each order is one hop shorter.
    constexpr std::size_t maxDirectWorkers = 100;

} // namespace

double relayCapacity(const Member& member) { return std::min(member.processorShare * workersPerCore, member.linkMbps * workersPerMbps); }

std::vector<Member> selectRelays(const std::vector<Member>& members, const FailureDomain& domain, std::size_t workerCount)
{
    std::vector<Member> local;
    std::ranges::copy_if(members, std::back_inserter(local), [&](const Member& it) { return it.domain == domain; });
    std::ranges::sort(local, [](const Member& a, const Member& b) {
        return relayCapacity(a) != relayCapacity(b) ? relayCapacity(a) > relayCapacity(b) : a.node < b.node;
    });
    const auto wanted = std::max(minRelays, (workerCount + workersPerRelay - 1) / workersPerRelay);
    local.resize(std::min(local.size(), wanted));
    return local;
}

std::vector<DaemonId> rankRelays(const scheduler::WorkerId& worker, const std::vector<Member>& members)
{
    std::vector<std::pair<double, DaemonId>> scores;
    std::ranges::transform(members, std::back_inserter(scores),
        [&](const Member& it) { return std::pair(-rendezvousScore(worker.value(), it.node, relayCapacity(it)), it.node); });
    std::ranges::sort(scores);
    std::vector<DaemonId> ranked;
    std::ranges::transform(scores, std::back_inserter(ranked), [](const auto& it) { return it.second; });
    return ranked;
}

bool needsRelays(std::size_t workerCount, double leaderLinkMbps)
{
    const auto count = static_cast<double>(workerCount);
    return workerCount > maxDirectWorkers || count > leaderLinkMbps * workersPerMbps;
}

} // namespace kingcuploom::relay
