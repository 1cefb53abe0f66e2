#include "placement/WorkerController.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <tuple>

namespace kingcuploom::placement {

namespace {

    constexpr unsigned fullShare = 1000;
    constexpr std::array<unsigned, 4> shareSteps { 100, 250, 500, fullShare };
    // Share of a new measurement in the smoothed residual; at 15% noise the residual's deviation is 5%.
    constexpr double smoothing = 0.2;
    // Time for an action to reach the worker and to show in a measurement.
    constexpr std::chrono::seconds settleTime { 2 };
    constexpr std::chrono::seconds releaseAfter { 5 };
    // A throttle that was just used up needs a few reports to prove insufficient.
    constexpr std::chrono::seconds evictAfter { 10 };
    constexpr double burstMinutes = 0.25;
    double perMille(unsigned share) { return static_cast<double>(share) / fullShare; }

    struct Worst {
        std::string service;
        double value = 0;
    };

    using Estimates = std::map<std::string, double>;

    Worst worstOf(const Estimates& estimates)
    {
        const auto it = std::ranges::max_element(estimates, {}, [](const auto& entry) { return entry.second; });
        return it == estimates.end() ? Worst() : Worst { it->first, it->second };
    }

    void smoothResiduals(ControllerState& state, const WorkerReport& report, const InterferenceModel& model)
    {
        std::erase_if(state.residuals, [&](const auto& entry) { return !report.slowdowns.contains(entry.first); });
        for (const auto& [service, slowdown] : report.slowdowns) {
            const double residual = logOf(slowdown) - logSlowdownOf(model, service, report.loadsThen);
            const auto [it, isNew] = state.residuals.try_emplace(service, residual);
            it->second += smoothing * (residual - it->second);
        }
    }

    // The measurement lags and is noisy, so it only corrects the prediction for what runs now.
    Estimates estimatesNow(const ControllerState& state, const WorkerReport& report, const InterferenceModel& model)
    {
        ClassLoads loads;
        for (const auto& task : report.batch)
            loads[task.className] += perMille(task.sharePerMille);
        Estimates estimates;
        for (const auto& [service, residual] : state.residuals)
            estimates[service] = logSlowdownOf(model, service, loads) + residual;
        return estimates;
    }

    unsigned lowerStep(unsigned share)
    {
        const auto it = std::ranges::lower_bound(shareSteps, share);
        return it == shareSteps.begin() ? shareSteps.front() : *std::prev(it);
    }

    unsigned higherStep(unsigned share)
    {
        const auto it = std::ranges::upper_bound(shareSteps, share);
        return it == shareSteps.end() ? fullShare : *it;
    }

    double effectOf(const InterferenceModel& model, const std::string& service, const ControlledTask& task)
    {
        return logSlowdownOf(model, service, task.className);
    }

    // The noisiest first, and only as many steps as the excess needs.
    std::vector<ControlAction> throttles(
        std::vector<ControlledTask> tasks, const InterferenceModel& model, const std::string& service, double excess)
    {
        std::ranges::sort(
            tasks, {}, [&](const ControlledTask& task) { return std::tuple(-effectOf(model, service, task), task.workAtRisk, task.task); });
        std::vector<ControlAction> actions;
        for (const auto& task : tasks) {
            const auto effect = effectOf(model, service, task);
            auto share = task.sharePerMille;
            while (excess > 0 && effect >= minEffect && share > shareSteps.front()) {
                const auto next = lowerStep(share);
                excess -= effect * perMille(share - next);
                share = next;
            }
            if (share != task.sharePerMille)
                actions.push_back({ ControlKind::Throttle, task.task, share });
        }
        return actions;
    }

    // Among the tasks that matter to the service, the one that loses the least work.
    std::vector<ControlAction> eviction(const WorkerReport& report, const InterferenceModel& model, const std::string& service)
    {
        const auto largest = std::ranges::max(report.batch, {}, [&](const auto& task) { return effectOf(model, service, task); });
        const double needed = effectOf(model, service, largest) / 2;
        const ControlledTask* best = nullptr;
        for (const auto& task : report.batch) {
            if (effectOf(model, service, task) < needed)
                continue;
            if (!best || std::tie(task.workAtRisk, task.task) < std::tie(best->workAtRisk, best->task))
                best = &task;
        }
        return { { ControlKind::CheckpointAndEvict, best->task, 0 } };
    }

    // Raises shares, the least noisy first, as long as the prediction stays in the middle between both bounds.
    std::vector<ControlAction> releases(
        std::vector<ControlledTask> tasks, Estimates predicted, const InterferenceModel& model, const SlowdownBounds& bounds)
    {
        const double ceiling = (bounds.high + bounds.low) / 2;
        const auto worstEffect = [&](const ControlledTask& task) {
            double effect = 0;
            for (const auto& [service, value] : predicted)
                effect = std::max(effect, effectOf(model, service, task));
            return effect;
        };
        std::ranges::sort(tasks, {}, [&](const ControlledTask& task) { return std::tuple(worstEffect(task), task.task); });
        std::vector<ControlAction> actions;
        for (const auto& task : tasks) {
            const auto next = higherStep(task.sharePerMille);
            const auto raised = [&](const auto& entry) {
                return entry.second + effectOf(model, entry.first, task) * perMille(next - task.sharePerMille);
            };
            if (next == task.sharePerMille || std::ranges::any_of(predicted, [&](const auto& entry) { return raised(entry) > ceiling; }))
                continue;
            for (auto& entry : predicted)
                entry.second = raised(entry);
            actions.push_back({ ControlKind::Release, task.task, next });
        }
        return actions;
    }

    bool isHeldFor(std::optional<MonotonicTime>& since, MonotonicTime measuredAt, std::chrono::seconds time)
    {
        if (!since)
            since = measuredAt;
        return measuredAt - *since >= time;
    }

    std::vector<ControlAction> reduce(ControllerState& state, EvictionBudget& budget, const WorkerReport& report,
        const InterferenceModel& model, const SlowdownBounds& bounds, const Worst& worst)
    {
        state.calmSince.reset();
        std::vector<ControlAction> actions;
        if (report.canThrottle)
            actions = throttles(report.batch, model, worst.service, worst.value - (bounds.high + bounds.low) / 2);
        if (!actions.empty()) {
            state.exhaustedSince.reset();
            return actions;
        }
        if (!isHeldFor(state.exhaustedSince, report.measuredAt, evictAfter) || budget.tokens < 1 || report.batch.empty())
            return {};
        budget.tokens -= 1;
        state.exhaustedSince.reset();
        return eviction(report, model, worst.service);
    }

} // namespace

void refill(EvictionBudget& budget, const schema::PolicySpecT& policy, MonotonicTime now)
{
    const double perMinute = policy.evictions_per_minute;
    const auto minutes = std::chrono::duration<double, std::ratio<60>>(now - budget.refilledAt).count();
    // At least one whole token can be saved up, and none when the policy allows no evictions.
    const double most = perMinute > 0 ? std::max(1.0, perMinute * burstMinutes) : 0;
    budget.tokens = std::min(most, budget.tokens + std::max(0.0, minutes) * perMinute);
    budget.refilledAt = now;
}

std::vector<ControlAction> decide(ControllerState& state, EvictionBudget& budget, const WorkerReport& report,
    const InterferenceModel& model, const schema::PolicySpecT& policy, MonotonicTime now)
{
    const bool isKnown = report.measuredAt <= state.lastMeasuredAt;
    const bool isTooEarly = state.lastActionAt && report.measuredAt < *state.lastActionAt + settleTime;
    if (isKnown || isTooEarly)
        return {};
    smoothResiduals(state, report, model);
    state.lastMeasuredAt = report.measuredAt;
    const auto bounds = slowdownBounds(policy);
    const auto estimates = estimatesNow(state, report, model);
    const auto worst = worstOf(estimates);
    std::vector<ControlAction> actions;
    if (worst.value > bounds.high) {
        actions = reduce(state, budget, report, model, bounds, worst);
    } else {
        state.exhaustedSince.reset();
        if (worst.value > bounds.low)
            state.calmSince.reset();
        else if (isHeldFor(state.calmSince, report.measuredAt, releaseAfter))
            actions = releases(report.batch, estimates, model, bounds);
    }
    if (!actions.empty())
        state.lastActionAt = now;
    return actions;
}

} // namespace kingcuploom::placement
