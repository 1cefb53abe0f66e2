#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace kingcuploom::scheduler {

// Counts of what has happened, and of the part of it that was delayed on purpose. Old counts fade.
struct DelayShare {
    std::uint64_t total = 0;
    std::uint64_t delayed = 0;
    MonotonicTime halvedAt;
};

struct DelayLimit {
    unsigned maxPercent = 0;
    // May be delayed whatever their share, because the total of a new leader is small.
    std::uint64_t allowance = 0;
};

// Counts more of the total as delayed. Counts none and returns false if they would exceed the limit.
bool countDelayed(DelayShare&, std::uint64_t added, const DelayLimit&);

void ageDelayShare(DelayShare&, MonotonicTime now);

} // namespace kingcuploom::scheduler
