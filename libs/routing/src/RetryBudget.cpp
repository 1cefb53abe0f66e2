#include "routing/RetryBudget.h"

#include <algorithm>

namespace kingcuploom::routing {

namespace {

    constexpr std::uint64_t tokensPerRetry = 1000;
    // Bounds the burst of retries after a period without failures to 50.
    constexpr std::uint64_t maxTokens = 50 * tokensPerRetry;

} // namespace

void addTokens(RetryBudget& budget) { budget.tokens = std::min(maxTokens, budget.tokens + budget.perMille); }

bool tryConsumeRetry(RetryBudget& budget)
{
    if (budget.perMille == 0 || budget.tokens < tokensPerRetry)
        return false;
    budget.tokens -= tokensPerRetry;
    return true;
}

} // namespace kingcuploom::routing
