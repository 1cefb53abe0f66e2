#pragma once

#include <cstdint>

namespace kingcuploom {

// Seeded generator (SplitMix64): the same sequence on every platform, unlike the standard distributions.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();

    // Uniform in [0, bound); bound must not be 0.
    std::uint64_t below(std::uint64_t bound);

    // Uniform in [0, 1).
    double unit();

private:
    std::uint64_t m_state;
};

} // namespace kingcuploom
