#include "routing/ServiceTime.h"

#include <algorithm>

namespace kingcuploom::routing {

namespace {

    // Smoothing factor that follows a load shift within a few hundred requests.
    constexpr double minSampleWeight = 0.01;
    constexpr double tailQuantile = 0.99;
    // Relative step of the quantile estimate: a sample above it raises it by 0.99 steps, a sample below it lowers it by 0.01 steps.
    constexpr double tailStep = 0.1;
    constexpr double minTailMs = 0.1;

} // namespace

void observe(ServiceTime& times, double ms)
{
    ++times.samples;
    const double weight = std::max(minSampleWeight, 1.0 / times.samples);
    times.meanMs += weight * (ms - times.meanMs);
    if (times.samples == 1) {
        times.tailMs = std::max(minTailMs, ms);
        return;
    }
    const double factor = ms > times.tailMs ? 1 + tailStep * tailQuantile : 1 - tailStep * (1 - tailQuantile);
    times.tailMs = std::max(minTailMs, times.tailMs * factor);
}

} // namespace kingcuploom::routing
