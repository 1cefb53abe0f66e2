#include "scheduler/StartWindow.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    constexpr Milliseconds interval { 100 };
    // The shortest delay is forgotten after one to two periods, because the path may have become longer for good.
    constexpr std::chrono::seconds shortestDelayPeriod { 10 };
    // Queueing delay above which an answer counts as late. It stays well below the timeout of an order.
    constexpr Milliseconds maxQueueingDelay { 120 };
    // Single workers are slow or silent for reasons of their own; a full link delays a large part of all answers.
    constexpr unsigned congestedPercent = 40;
    constexpr unsigned minAnswers = 4;
    constexpr double decreaseFactor = 0.7;
    constexpr double increasePerInterval = 8;
    constexpr double minLimit = 4;
    constexpr double maxLimit = 4096;

    void closeOrder(StartWindow& window) { window.inFlight -= window.inFlight > 0 ? 1 : 0; }

    void rotateShortestDelay(StartWindow& window, MonotonicTime now)
    {
        if (now - window.periodStartedAt < shortestDelayPeriod)
            return;
        window.periodStartedAt = now;
        window.shortestDelay = window.nextShortestDelay;
        window.nextShortestDelay = Milliseconds(0);
    }

    void keepShorter(Milliseconds& shortest, Milliseconds delay)
    {
        shortest = shortest == Milliseconds(0) ? delay : std::min(shortest, delay);
    }

} // namespace

std::size_t freeStarts(const StartWindow& window)
{
    const auto limit = static_cast<std::size_t>(window.limit);
    return limit > window.inFlight ? limit - window.inFlight : 0;
}

void onStartSent(StartWindow& window) { ++window.inFlight; }

void onStartAnswered(StartWindow& window, Milliseconds delay)
{
    closeOrder(window);
    const auto positive = std::max(delay, Milliseconds(1));
    keepShorter(window.shortestDelay, positive);
    keepShorter(window.nextShortestDelay, positive);
    ++window.answers;
    window.lateAnswers += positive - window.shortestDelay > maxQueueingDelay ? 1 : 0;
}

void onStartUnanswered(StartWindow& window)
{
    closeOrder(window);
    ++window.answers;
    ++window.lateAnswers;
}

void onStartWithheld(StartWindow& window) { closeOrder(window); }

void updateStartWindow(StartWindow& window, MonotonicTime now)
{
    rotateShortestDelay(window, now);
    if (now - window.intervalStartedAt < interval || window.answers < minAnswers)
        return;
    window.isCongested = window.lateAnswers * 100 >= window.answers * congestedPercent;
    const bool isUsed = static_cast<double>(window.inFlight + window.answers) >= window.limit / 2;
    if (window.isCongested)
        window.limit = std::max(minLimit, window.limit * decreaseFactor);
    else if (isUsed)
        window.limit = std::min(maxLimit, window.limit + increasePerInterval);
    window.intervalStartedAt = now;
    window.answers = 0;
    window.lateAnswers = 0;
}

} // namespace kingcuploom::scheduler
