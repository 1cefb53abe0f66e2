#include "placement/Interference.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace kingcuploom::placement {

namespace {

    // Unknown pairs are taken as mildly noisy, so that they are neither avoided nor stacked before they have been measured.
    constexpr double priorMean = 0.05;
    constexpr double priorVariance = 0.04;
    // Keeps the estimate able to follow a shift, and covers the correlations that a diagonal covariance leaves out.
    constexpr double minVariance = 0.0001;
    // Variance regained per second without a sample: the prior's variance within about half an hour.
    constexpr double driftPerSecond = 0.00002;
    // Variance of the logarithm of one fresh measurement (about 15% noise).
    constexpr double noiseVariance = 0.0225;
    // A measurement of this age counts half as much as a fresh one.
    constexpr double halfWeightSeconds = 10;
    constexpr Milliseconds maxAge { 60000 };

    double seconds(MonotonicTime::duration time) { return std::chrono::duration<double>(time).count(); }

    void addDrift(PairEstimate& pair, MonotonicTime now)
    {
        pair.variance = std::min(priorVariance, pair.variance + driftPerSecond * std::max(0.0, seconds(now - pair.updatedAt)));
        pair.updatedAt = now;
    }

} // namespace

void notePresence(PresenceLog& log, MonotonicTime now, ClassLoads loads)
{
    if (!log.entries.empty() && log.entries.back().loads == loads)
        return;
    log.entries.push_back({ now, std::move(loads) });
    while (log.entries.size() > 1 && log.entries[1].since + maxAge < now)
        log.entries.pop_front();
}

const ClassLoads* presentAt(const PresenceLog& log, MonotonicTime time)
{
    const auto it = std::ranges::upper_bound(log.entries, time, {}, &PresenceLog::Entry::since);
    return it == log.entries.begin() ? nullptr : &std::prev(it)->loads;
}

// A Kalman filter with a diagonal covariance: the surprise is shared out by uncertainty, so pairs that are known well keep their
// estimate and a new class takes the blame; few samples stay near the prior.
bool learn(InterferenceModel& model, const PresenceLog& log, const SlowdownReport& report, MonotonicTime now)
{
    if (report.age > maxAge || report.age < Milliseconds::zero() || !std::isfinite(report.slowdown))
        return false;
    const auto* loads = presentAt(log, now - report.age);
    if (!loads || loads->empty())
        return false;
    auto& pairs = model.pairs[report.service];
    double predicted = 0;
    double uncertainty = noiseVariance * (1 + seconds(report.age) / halfWeightSeconds);
    for (const auto& [name, load] : *loads) {
        auto& pair = pairs.try_emplace(name, PairEstimate { priorMean, priorVariance, now }).first->second;
        addDrift(pair, now);
        predicted += load * pair.mean;
        uncertainty += load * load * pair.variance;
    }
    const double surprise = logOf(report.slowdown) - predicted;
    for (const auto& [name, load] : *loads) {
        auto& pair = pairs.at(name);
        const double gain = load * pair.variance / uncertainty;
        pair.mean += gain * surprise;
        pair.variance = std::max(minVariance, pair.variance * (1 - gain * load));
    }
    return true;
}

double logOf(double slowdown) { return std::log(std::clamp(slowdown, 0.125, 64.0)); }

double logSlowdownOf(const InterferenceModel& model, const std::string& service, const std::string& className)
{
    const auto pairs = model.pairs.find(service);
    if (pairs == model.pairs.end())
        return priorMean;
    const auto pair = pairs->second.find(className);
    return pair == pairs->second.end() ? priorMean : std::max(0.0, pair->second.mean);
}

double logSlowdownOf(const InterferenceModel& model, const std::string& service, const ClassLoads& loads)
{
    double sum = 0;
    for (const auto& [name, load] : loads)
        sum += load * logSlowdownOf(model, service, name);
    return sum;
}

} // namespace kingcuploom::placement
