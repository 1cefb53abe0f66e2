#pragma once

#include "base/Clock.h"

#include <cstddef>

// Limit on the start orders that await an answer, adapted to what the leader's link and processor carry.
//
// A link that is full delays orders and answers until they time out; the repeats of unanswered orders then keep it full after the load has
// gone. The window shrinks when answers take longer than they do without a queue, before they time out, and grows while they do not
// (additive increase, multiplicative decrease on delay).
namespace kingcuploom::scheduler {

struct StartWindow {
    double limit = 64;
    std::size_t inFlight = 0;
    // Shortest time to an answer in the current and the previous period, as the time without a queue.
    Milliseconds shortestDelay { 0 };
    Milliseconds nextShortestDelay { 0 };
    MonotonicTime periodStartedAt;
    // Answers in the current interval, and those of them that were late or missing.
    unsigned answers = 0;
    unsigned lateAnswers = 0;
    MonotonicTime intervalStartedAt;
    // The last interval with answers was congested.
    bool isCongested = false;
};

// Number of start orders that may be sent now.
std::size_t freeStarts(const StartWindow&);

void onStartSent(StartWindow&);
// Handles an answer that took this long.
void onStartAnswered(StartWindow&, Milliseconds delay);
void onStartUnanswered(StartWindow&);
// Handles an order that was withheld, which says nothing about the link.
void onStartWithheld(StartWindow&);

// Adapts the limit once per interval. Must be called at least as often.
void updateStartWindow(StartWindow&, MonotonicTime now);

} // namespace kingcuploom::scheduler
