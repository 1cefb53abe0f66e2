#include "placement/SlowdownBounds.h"

#include <cmath>

namespace kingcuploom::placement {

namespace {

    // Bounds on the logarithm for a policy that weighs only tail latency, and for one that weighs only the other two.
    constexpr SlowdownBounds strictBounds { 0.15, 0.08 };
    constexpr SlowdownBounds looseBounds { 0.45, 0.25 };

} // namespace

SlowdownBounds slowdownBounds(const schema::PolicySpecT& policy)
{
    const double tail = policy.tail_latency_weight;
    const double others = (policy.throughput_weight + policy.eviction_weight) / 2.0;
    const double strictness = tail + others > 0 ? tail / (tail + others) : 0.5;
    return { std::lerp(looseBounds.high, strictBounds.high, strictness), std::lerp(looseBounds.low, strictBounds.low, strictness) };
}

} // namespace kingcuploom::placement
