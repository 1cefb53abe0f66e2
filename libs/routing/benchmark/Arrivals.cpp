#include "Arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace kingcuploom::trial {

namespace {

    // Uses the Box-Muller transform, because the results of the standard distributions differ between platforms.
    double drawNormal(Random& random)
    {
        const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
        return radius * std::cos(2 * std::numbers::pi * random.unit());
    }

    int drawIngress(const Site& site, const Load& load, Random& random)
    {
        const auto isFavoured = [&](int i) { return load.isSkewed && i % site.domains == 0; };
        int sum = 0;
        for (int i = 0; i < site.daemons; ++i)
            sum += isFavoured(i) ? 3 : 1;
        int ticket = int(random.below(std::uint64_t(sum)));
        for (int i = 0; i < site.daemons; ++i) {
            ticket -= isFavoured(i) ? 3 : 1;
            if (ticket < 0)
                return i;
        }
        return 0;
    }

    // Offered load relative to the load without a flood.
    double getFloodedLoad(const Variant& variant) { return (variant.teams - 1 + variant.floodFactor) / variant.teams; }

    int drawTeam(const Variant& variant, Random& random)
    {
        const double ticket = random.unit() * (variant.teams - 1 + variant.floodFactor);
        return ticket < variant.floodFactor ? 0 : 1 + std::min(variant.teams - 2, int(ticket - variant.floodFactor));
    }

} // namespace

std::vector<Request> drawRequests(const Site& site, const Variant& variant, const Load& load, Random& random)
{
    const double capacityPerMs = site.executors * site.slotsPerExecutor / load.meanServiceMs;
    const double mu = std::log(load.meanServiceMs) - load.sigma * load.sigma / 2;
    std::vector<Request> requests;
    double ms = 0;
    while (true) {
        ms += -std::log(1 - random.unit()) / (capacityPerMs * load.share * getFloodedLoad(variant));
        if (ms > load.seconds * 1000)
            break;
        Request request;
        request.arrivedMs = ms;
        request.serviceMs = std::exp(mu + load.sigma * drawNormal(random));
        constexpr double deadlines[] = { 300, 1000, 2000 };
        const double drawn = deadlines[random.below(3)];
        request.deadlineMs = ms + (variant.hasMixedDeadlines ? drawn : 2000);
        request.ingress
            = variant.arrangement == Arrangement::IdealSharedQueue ? 0 * drawIngress(site, load, random) : drawIngress(site, load, random);
        request.team = variant.teams > 1 ? drawTeam(variant, random) : 0;
        requests.push_back(request);
    }
    return requests;
}

} // namespace kingcuploom::trial
