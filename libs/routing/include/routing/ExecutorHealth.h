#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace kingcuploom::routing {

enum class HealthState {
    Healthy,
    // Gets no requests until the ejection time has passed.
    Ejected,
    // Gets one request at a time until enough of them have succeeded.
    Probing,
};

// Passive health state of one executor, from the results of its requests.
struct ExecutorHealth {
    HealthState state = HealthState::Healthy;
    int consecutiveFailures = 0;
    // Exponentially weighted moving average of failures, 0 to 1.
    double failureRate = 0;
    int samples = 0;
    // Exponentially weighted moving average of the logarithm of the service time in milliseconds.
    double meanLogMs = 0;
    int successes = 0;
    int probeSuccesses = 0;
    int ejections = 0;
    MonotonicTime ejectedUntil {};
};

// Records the result and the service time of one request.
void observe(ExecutorHealth&, bool isSuccess, double ms);

// Ejection criteria: isFailing() for too many failures, isSlow() for service times far above the median of the pool's executors.
bool isFailing(const ExecutorHealth&);
bool isSlow(const ExecutorHealth&, double medianLogMs);

void eject(ExecutorHealth&, MonotonicTime now);

// Moves from Ejected to Probing when the ejection time has passed, and from Probing to Healthy after enough successes.
void advanceState(ExecutorHealth&, MonotonicTime now);

// Maximum number of executors that may be ejected or probing at the same time.
int ejectionCap(int executors, std::uint32_t maxEjectedPerMille);

} // namespace kingcuploom::routing
