#include "routing/ExecutorHealth.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom::routing {

namespace {

    constexpr double minSampleWeight = 0.05;
    constexpr int maxConsecutiveFailures = 5;
    constexpr double maxFailureRate = 0.4;
    constexpr int minSamplesForRate = 20;
    // Service times are compared by their logarithms, because with a heavy tail a single long request moves the arithmetic mean past any
    // useful threshold. For lognormal times with sigma 1.2, the weighted mean of the logarithms has a standard deviation of 0.19, so the
    // threshold of a factor of 3 is more than five standard deviations away.
    constexpr int minSuccessesForSlow = 50;
    const double slowLogThreshold = std::log(3.0);
    constexpr double minServiceMs = 0.1;
    constexpr int probeSuccessesToRecover = 5;
    constexpr std::chrono::milliseconds baseEjectionTime { 1000 };
    constexpr int maxEjectionDoublings = 4;
    // Pools of at least this size may eject one executor even if the per-mille cap rounds down to 0.
    constexpr int minPoolForOneEjection = 3;

    void observeServiceTime(ExecutorHealth& health, double ms)
    {
        ++health.successes;
        const double weight = std::max(minSampleWeight, 1.0 / health.successes);
        health.meanLogMs += weight * (std::log(std::max(minServiceMs, ms)) - health.meanLogMs);
    }

} // namespace

void observe(ExecutorHealth& health, bool isSuccess, double ms)
{
    ++health.samples;
    const double weight = std::max(minSampleWeight, 1.0 / health.samples);
    health.failureRate += weight * ((isSuccess ? 0 : 1) - health.failureRate);
    health.consecutiveFailures = isSuccess ? 0 : health.consecutiveFailures + 1;
    if (isSuccess)
        observeServiceTime(health, ms);
    if (health.state == HealthState::Probing)
        health.probeSuccesses = isSuccess ? health.probeSuccesses + 1 : 0;
}

bool isFailing(const ExecutorHealth& health)
{
    if (health.state == HealthState::Probing)
        return health.consecutiveFailures > 0;
    return health.consecutiveFailures >= maxConsecutiveFailures
        || (health.samples >= minSamplesForRate && health.failureRate > maxFailureRate);
}

bool isSlow(const ExecutorHealth& health, double medianLogMs)
{
    return health.successes >= minSuccessesForSlow && health.meanLogMs > medianLogMs + slowLogThreshold;
}

void eject(ExecutorHealth& health, MonotonicTime now)
{
    const int doublings = std::min(health.ejections, maxEjectionDoublings);
    health.state = HealthState::Ejected;
    health.ejectedUntil = now + baseEjectionTime * (1 << doublings);
    ++health.ejections;
}

void advanceState(ExecutorHealth& health, MonotonicTime now)
{
    if (health.state == HealthState::Ejected && now >= health.ejectedUntil) {
        const int ejections = health.ejections;
        health = ExecutorHealth { .state = HealthState::Probing };
        health.ejections = ejections;
    }
    if (health.state == HealthState::Probing && health.probeSuccesses >= probeSuccessesToRecover)
        health.state = HealthState::Healthy;
    // Resets the ejection backoff after more than 1000 requests without an ejection.
    if (health.state == HealthState::Healthy && health.samples > 1000)
        health.ejections = 0;
}

int ejectionCap(int executors, std::uint32_t maxEjectedPerMille)
{
    if (maxEjectedPerMille == 0 || executors < minPoolForOneEjection)
        return 0;
    return std::max(1, int(std::uint32_t(executors) * maxEjectedPerMille / 1000));
}

} // namespace kingcuploom::routing
