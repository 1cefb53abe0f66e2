#include "scheduler/Pacing.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // A tail latency is that of the last half second, and a pace needs a tenth to take effect.
    constexpr Milliseconds controlInterval { 450 };
    // Tail latency against its limit, percent: where it is held, and where it counts as high. Measurements are late, so it is held
    // below the limit.
    constexpr int wantedPressure = 86;
    constexpr int highPressure = 97;
    // Pressure without any filling task, assumed for the correction.
    constexpr int ownPressure = 38;
    // Largest rise of a share in one control, percent points, and the share to begin with after standing still.
    constexpr int maxRise = 35;
    constexpr int firstPace = 20;
    // Below this share a filling task gets so little done that standing still for a moment serves both better.
    constexpr int leastPace = 8;
    // Effect of a filling image on a serving one from which on it counts as disturbing.
    constexpr double disturbingEffect = 0.5;
    // The pressure stays high for this many controls with the disturbing tasks at rest: the others are paced as well.
    constexpr int controlsBeforeOthers = 2;
    // A lone high reading of a serving task that has just started says little.
    constexpr int fullPercent = 100;

    int nextPace(int pace, int pressure)
    {
        const auto room = std::max(pressure - ownPressure, 1);
        if (pace < leastPace)
            return pressure < wantedPressure ? firstPace : 0;
        const auto wanted = pace * (wantedPressure - ownPressure) / room;
        const auto next = std::min(wanted, pace + maxRise);
        return next < leastPace ? 0 : std::min(next, 100);
    }

    struct Serving {
        ImageNumber image;
        int pressure = 0;
    };

    struct Reading {
        std::vector<Serving> serving;
        std::map<ImageNumber, double> fillingUse;
        double otherUse = 0;
        int highest = 0;
    };

    Reading readingOf(State& state, const Worker& worker)
    {
        Reading reading;
        const auto capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1));
        for (const auto& ref : worker.runs) {
            const auto* job = findJob(state, ref.task.job);
            const auto* run = findRun(state, ref);
            if (!job || !run || !run->isListed)
                continue;
            const auto& step = stepSpecOf(*job, ref.task.step);
            const auto image = job->images[ref.task.step];
            const auto use = static_cast<double>(run->figure) / capacity;
            if (step.target_ms == 0 && step.fills)
                reading.fillingUse[image] += use;
            else if (step.target_ms == 0)
                reading.otherUse += use;
            else if (run->percent == fullPercent)
                reading.serving.push_back({ image, static_cast<int>(run->figure * 100 / static_cast<std::int64_t>(step.target_ms)) });
        }
        for (const auto& serving : reading.serving)
            reading.highest = std::max(reading.highest, serving.pressure);
        return reading;
    }

    void learn(State& state, const Reading& reading)
    {
        InterferenceSample sample;
        sample.otherUse = reading.otherUse;
        sample.fillingUse.assign(reading.fillingUse.begin(), reading.fillingUse.end());
        for (const auto& serving : reading.serving) {
            sample.serving = serving.image;
            sample.pressure = serving.pressure / 100.0;
            state.interference.add(sample);
        }
    }

    bool isDisturbing(const State& state, const Worker& worker, ImageNumber filling)
    {
        return std::ranges::any_of(worker.servingImages, [&](const auto& entry) {
            return state.interference.effect(entry.first, filling) >= disturbingEffect || !state.interference.isKnown(entry.first, filling);
        });
    }

    void setPaces(Worker& worker, int pressure)
    {
        worker.highControls = pressure > highPressure ? worker.highControls + 1 : 0;
        const bool isOthersTurn = worker.highControls >= controlsBeforeOthers && worker.disturbingPace == 0;
        if (isOthersTurn || worker.otherPace < 100)
            worker.otherPace = nextPace(worker.otherPace, pressure);
        worker.disturbingPace = nextPace(worker.disturbingPace, pressure);
    }

} // namespace

void controlPace(State& state, Worker& worker, MonotonicTime now, Orders& orders)
{
    if (now - worker.paceChangedAt >= controlInterval) {
        const auto reading = readingOf(state, worker);
        learn(state, reading);
        worker.servingPressure = reading.highest;
        worker.paceChangedAt = now;
        const auto before = std::pair(worker.disturbingPace, worker.otherPace);
        if (worker.fillingCpuMillis > 0)
            setPaces(worker, reading.highest);
        else
            worker.disturbingPace = worker.otherPace = 100;
        if (before != std::pair(worker.disturbingPace, worker.otherPace))
            orders.emplace_back(Decision {
                "pace_changed", {}, worker.id, "pressure_" + std::to_string(reading.highest), {}, worker.disturbingPace });
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
        const bool isDisturber = isDisturbing(state, worker, job->images[ref.task.step]);
        run->pace = isDisturber ? worker.disturbingPace : worker.otherPace;
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
