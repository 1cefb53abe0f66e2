#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler::test {

// Time of the random fleets, and the matching wall-clock time.
inline constexpr MonotonicTime fleetTime { std::chrono::hours(1) };
inline constexpr std::int64_t fleetWallMs = 1'700'000'000'000;

// Returns a leader's state drawn from the seed: workers that differ in all properties that placement looks at, partly occupied by runs in
// all phases, and jobs with waiting tasks of all kinds.
State makeRandomFleet(std::uint64_t seed);

} // namespace kingcuploom::scheduler::test
