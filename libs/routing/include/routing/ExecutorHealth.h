#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace kingcuploom::routing {

enum class HealthState {
    Healthy,
    // Gets no work until the time is over.
    Ejected,
    // Gets one request at a time until enough have succeeded.
    Probing,
};

// Observed behaviour of one executor.
struct ExecutorHealth {
    HealthState state = HealthState::Healthy;
    int consecutiveFailures = 0;
    // Share of failures, 0 to 1, weighted towards the newest.
    double failureRate = 0;
    int samples = 0;
    // Mean of the logarithms of the service times in milliseconds, weighted towards the newest.
    double meanLogMs = 0;
    int successes = 0;
    int probeSuccesses = 0;
    int ejections = 0;
    MonotonicTime ejectedUntil {};
};

void observe(ExecutorHealth&, bool isSuccess, double ms);

// True when the failures justify an ejection, or the usual service time is far above that of the pool's executors.
bool isFailing(const ExecutorHealth&);
bool isSlow(const ExecutorHealth&, double medianLogMs);

void eject(ExecutorHealth&, MonotonicTime now);

// Ejected to probing when the time is over, probing to healthy after enough successes.
void advanceState(ExecutorHealth&, MonotonicTime now);

// Largest number of executors that may be ejected or probing at the same time.
int ejectionCap(int executors, std::uint32_t maxEjectedPerMille);

} // namespace kingcuploom::routing
