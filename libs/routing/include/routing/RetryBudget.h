#pragma once

#include <cstdint>

namespace kingcuploom::routing {

// Limits retries to a share of the fresh requests, so that a failing target does not multiply the load. Tokens are per mille of a retry.
struct RetryBudget {
    // 0 allows no retry.
    std::uint32_t perMille = 100;
    std::uint64_t tokens = 10'000;
};

void addTokens(RetryBudget&);

// Takes one retry out of the budget; false when it is used up.
bool tryConsumeRetry(RetryBudget&);

} // namespace kingcuploom::routing
