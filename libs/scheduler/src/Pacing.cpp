#include "scheduler/Pacing.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // A tail latency is that of the last half second, and a pace needs a tenth to take effect.
    constexpr Milliseconds controlInterval { 450 };
    // Tail latency against its limit, percent. Pacing begins before the limit, because measurements are late.
    constexpr int overPressure = 98;
    constexpr int highPressure = 86;
    constexpr int lowPressure = 72;
    constexpr int calmPressure = 45;
    // Below this share a filling task gets so little done that standing still for a moment serves both better.
    constexpr int leastPace = 15;

    int nextPace(int pace, int pressure)
    {
        if (pressure > overPressure)
            pace = pace * 45 / 100;
        else if (pressure > highPressure)
            pace = pace * 80 / 100;
        else if (pressure < calmPressure)
            pace += 25;
        else if (pressure < lowPressure)
            pace += 10;
        if (pressure > overPressure && pace < leastPace)
            return 0;
        return std::clamp(pace, 0, 100);
    }

    int pressureOn(State& state, const Worker& worker)
    {
        int highest = 0;
        for (const auto& ref : worker.runs) {
            const auto* job = findJob(state, ref.task.job);
            const auto* run = findRun(state, ref);
            if (!job || !run || !run->isListed)
                continue;
            const auto& step = stepSpecOf(*job, ref.task.step);
            if (step.target_ms > 0)
                highest = std::max(highest, static_cast<int>(run->figure * 100 / static_cast<std::int64_t>(step.target_ms)));
        }
        return highest;
    }

} // namespace

void controlPace(State& state, Worker& worker, MonotonicTime now, Orders& orders)
{
    if (now - worker.paceChangedAt >= controlInterval) {
        worker.servingPressure = pressureOn(state, worker);
        const auto pace = worker.fillingCpuMillis > 0 ? nextPace(worker.fillPace, worker.servingPressure) : 100;
        if (pace != worker.fillPace) {
            orders.emplace_back(Decision { "pace_changed", {}, worker.id, "pressure_" + std::to_string(worker.servingPressure), {}, pace });
            worker.fillPace = pace;
        }
        worker.paceChangedAt = now;
    }
    sendPaces(state, worker, orders);
}

void sendPaces(State& state, Worker& worker, Orders& orders)
{
    for (const auto& ref : worker.runs) {
        const auto* job = findJob(state, ref.task.job);
        auto* run = findRun(state, ref);
        if (!job || !run || run->phase != RunPhase::Running || !stepSpecOf(*job, ref.task.step).fills)
            continue;
        run->pace = worker.fillPace;
        if (run->pace == run->confirmedPace || run->isPaceInFlight)
            continue;
        run->isPaceInFlight = true;
        orders.emplace_back(PaceOrder { ref, worker.id, run->pace });
    }
}

void onPaceResult(State& state, const RunRef& ref, int percent, bool isAccepted)
{
    auto* run = findRun(state, ref);
    if (!run)
        return;
    run->isPaceInFlight = false;
    if (isAccepted)
        run->confirmedPace = percent;
}

} // namespace kingcuploom::scheduler
