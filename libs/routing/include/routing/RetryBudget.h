#pragma once

#include <cstdint>

namespace kingcuploom::routing {

// Token bucket that limits retries to a share of the first attempts, so that a failing target does not multiply the load. One token is
// a thousandth of a retry.
struct RetryBudget {
    // Tokens added for each first attempt; 0 disables retries.
    std::uint32_t perMille = 100;
    std::uint64_t tokens = 10'000;
};

// Adds the tokens for one first attempt.
void addTokens(RetryBudget&);

// Consumes the tokens for one retry. Returns false if there are too few or retries are disabled.
bool tryConsumeRetry(RetryBudget&);

} // namespace kingcuploom::routing
