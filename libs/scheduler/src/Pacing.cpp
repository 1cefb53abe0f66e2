#include "scheduler/Pacing.h"

#include <algorithm>
#include <cstdlib>

namespace kingcuploom::scheduler {

namespace {

    // A tail latency covers the last half second, and a new pace takes effect within a tenth of a second.
    constexpr Milliseconds controlInterval { 450 };
    // Target slack of serving tasks. It is above the limit of 1 because readings lag.
    constexpr double targetSlack = 1.2;
    // Target for the mean slack at placement. It leaves a margin for the load of the serving task, which swings by up to a half around its
    // mean during the life of a filling task.
    constexpr double targetMeanSlack = 1.55;
    // Filling images with a smaller effect on a serving image are not paced for it.
    constexpr double relevantEffect = 2.0;
    // Largest increase of a pace per control interval, in percentage points.
    constexpr int maxRise = 30;
    // Below this pace, in percent, a filling task is paused: it would achieve little, and a short pause is better for both sides.
    constexpr int minPace = 5;
    // Smaller changes of a pace are not sent, in percentage points.
    constexpr int minPaceChange = 4;
    // The trim is multiplied by trimFactor in each interval with a task over its limit, and grows by trimRecovery in each other one.
    constexpr double trimFactor = 0.6;
    constexpr double trimRecovery = 0.15;
    constexpr double minTrim = 0.1;
    // After a serving task has been over its limit for these times, first the filling tasks that interfere with it are paused, then all
    // filling tasks of the worker. The service objective allows at most 4 s over the limit, and the tail latency reacts within a second.
    constexpr Milliseconds pauseDisturbingAfter { 1300 };
    constexpr Milliseconds pauseAllAfter { 2000 };
    constexpr double slightEffect = 0.4;
    // Readings cover the last half second, and a pace takes effect half a second later on average, so the slack is extrapolated by its
    // trend over this time. A rising trend is capped lower, because underestimating the slack costs filling tasks only little.
    constexpr double lookaheadSeconds = 0.6;
    constexpr double maxFallPerSecond = 0.9;
    constexpr double maxRisePerSecond = 0.2;
    // Readings further apart than this give no trend.
    constexpr std::chrono::seconds maxTrendAge { 3 };
    // Weight of the newest change in the trend.
    constexpr double trendWeight = 0.5;
    // Minimum slack of the serving tasks after the placement of a filling task.
    constexpr double slackAfterPlacement = 1.12;
    // A worker gets no further task of a filling image that is paced there below this percentage.
    constexpr int minPaceToPlace = 60;
    // Readings count only once a serving task is fully started, which it reports as 100 percent.
    constexpr int readyPercent = 100;

    // Estimates kept for each worker. With more, the search would take longer than a new estimate.
    constexpr std::size_t maxFillingEstimates = 16;

    struct Serving {
        ImageNumber image;
        Run* run = nullptr;
        double slack = 0;
        // Expected change of the slack until a new pace takes effect.
        double expectedChange = 0;
        // Time for which the tail latency has been over its limit.
        Milliseconds over { 0 };
    };

    struct Reading {
        std::vector<Serving> serving;
        std::map<ImageNumber, double> fillingUse;
        double otherUse = 0;
        double minSlack = 4.0;
        Milliseconds maxOverLimit { 0 };
    };

    double getCpuCapacity(const Worker& worker) { return static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1)); }

    Serving makeServing(Run& run, ImageNumber image, std::int64_t limitMs, MonotonicTime now)
    {
        Serving serving { image, &run, static_cast<double>(limitMs) / static_cast<double>(run.figure), 0, Milliseconds(0) };
        if (serving.slack >= 1.0)
            run.overLimitSince.reset();
        else if (!run.overLimitSince)
            run.overLimitSince = now;
        if (run.overLimitSince)
            serving.over = std::chrono::duration_cast<Milliseconds>(now - *run.overLimitSince);
        return serving;
    }

    Reading collectReading(State& state, const Worker& worker, MonotonicTime now)
    {
        Reading reading;
        for (const auto& ref : worker.runs) {
            const auto [job, task, run] = findRunEntry(state, ref);
            if (!run || !run->isListed)
                continue;
            const auto& step = getStepSpec(*job, ref.task.step);
            const auto image = job->images[ref.task.step];
            const auto use = static_cast<double>(run->figure) / getCpuCapacity(worker);
            if (step.target_ms == 0 && step.fills)
                reading.fillingUse[image] += use;
            else if (step.target_ms == 0)
                reading.otherUse += use;
            else if (run->percent == readyPercent && run->figure > 0)
                reading.serving.push_back(makeServing(*run, image, step.target_ms, now));
        }
        for (const auto& serving : reading.serving) {
            reading.minSlack = std::min(reading.minSlack, serving.slack);
            reading.maxOverLimit = std::max(reading.maxOverLimit, serving.over);
        }
        return reading;
    }

    double computeCurrentLoss(const State& state, const Reading& reading, ImageNumber serving)
    {
        double lost = 0;
        for (const auto& [image, use] : reading.fillingUse)
            lost += state.interference.effect(serving, image) * use;
        return lost;
    }

    // Updates the trend of each serving task's own slack, which excludes the interference of filling tasks.
    void updateTrends(const State& state, Reading& reading, MonotonicTime now)
    {
        for (auto& serving : reading.serving) {
            auto& run = *serving.run;
            const auto ownSlack = serving.slack + computeCurrentLoss(state, reading, serving.image);
            const std::chrono::duration<double> passed = now - run.ownSlackAt;
            if (run.ownSlack > 0 && passed < maxTrendAge) {
                const auto change = std::clamp((ownSlack - run.ownSlack) / passed.count(), -maxFallPerSecond, maxFallPerSecond);
                run.slackTrend += trendWeight * (change - run.slackTrend);
            } else {
                run.slackTrend = 0;
            }
            run.ownSlack = ownSlack;
            run.ownSlackAt = now;
            serving.expectedChange = std::clamp(run.slackTrend, -maxFallPerSecond, maxRisePerSecond) * lookaheadSeconds;
        }
    }

    void addSamples(State& state, const Reading& reading)
    {
        InterferenceSample sample;
        sample.otherUse = reading.otherUse;
        sample.fillingUse.assign(reading.fillingUse.begin(), reading.fillingUse.end());
        for (const auto& serving : reading.serving) {
            sample.serving = serving.image;
            sample.slack = serving.slack;
            state.interference.add(sample);
        }
    }

    void updateMinSlacks(Worker& worker, const Reading& reading)
    {
        worker.minSlacks.clear();
        for (const auto& serving : reading.serving) {
            const auto [it, isNew] = worker.minSlacks.try_emplace(serving.image, serving.slack);
            it->second = std::min(it->second, serving.slack);
        }
    }

    // Returns the pace of the filling tasks, 0 to 1, at which the serving task keeps the target slack.
    double computeShare(const State& state, const Worker& worker, const Reading& reading, const Serving& serving)
    {
        const auto lost = computeCurrentLoss(state, reading, serving.image);
        const auto atFullPace = expectedLoss(state, worker, serving.image);
        const auto allowed = serving.slack + serving.expectedChange + lost - targetSlack;
        return atFullPace <= 0 ? 1.0 : std::clamp(allowed / atFullPace, 0.0, 1.0);
    }

    void updatePaces(const State& state, Worker& worker, const Reading& reading)
    {
        worker.paceTrim
            = reading.minSlack < 1.0 ? std::max(worker.paceTrim * trimFactor, minTrim) : std::min(worker.paceTrim + trimRecovery, 1.0);
        std::map<ImageNumber, double> shares;
        for (const auto& serving : reading.serving) {
            const bool isPaused = serving.over >= pauseDisturbingAfter;
            const auto share = isPaused ? 0.0 : computeShare(state, worker, reading, serving) * worker.paceTrim;
            const auto minEffect = serving.over >= pauseAllAfter ? 0.0 : (isPaused ? slightEffect : relevantEffect);
            for (const auto& [image, size] : worker.fillingImages) {
                const auto [it, isNew] = shares.try_emplace(image, 1.0);
                if (state.interference.effect(serving.image, image) >= minEffect)
                    it->second = std::min(it->second, share);
            }
        }
        std::map<ImageNumber, int> paces;
        for (const auto& [image, share] : shares) {
            const auto known = worker.paces.find(image);
            const auto before = known == worker.paces.end() ? 100 : known->second;
            const auto pace = std::min(static_cast<int>(share * 100), before + maxRise);
            if (pace < 100)
                paces[image] = pace < minPace ? 0 : pace;
        }
        worker.paces = std::move(paces);
    }

    void refreshExpectations(const State& state, const Worker& worker)
    {
        if (!worker.areExpectedLossesStale && worker.expectedLossesVersion == state.interference.version())
            return;
        worker.areExpectedLossesStale = false;
        worker.expectedLossesVersion = state.interference.version();
        worker.fillingEstimates.clear();
        worker.expectedLosses.clear();
        for (const auto& [image, count] : worker.servingImages) {
            double loss = 0;
            for (const auto& [filling, size] : worker.fillingImages)
                loss += state.interference.effect(image, filling) * static_cast<double>(size) / getCpuCapacity(worker);
            worker.expectedLosses[image] = loss;
        }
    }

    double computeExpectedPace(const State& state, const Worker& worker, ImageNumber filling, std::int64_t cpuMillis)
    {
        double pace = 1.0;
        const auto use = static_cast<double>(cpuMillis) / getCpuCapacity(worker);
        for (const auto& [serving, count] : worker.servingImages) {
            const auto effect = state.interference.effect(serving, filling);
            if (effect < relevantEffect)
                continue;
            const auto loss = expectedLoss(state, worker, serving) + effect * use;
            const auto allowed = state.interference.ownSlack(serving) - targetMeanSlack;
            pace = std::min(pace, loss <= 0 ? 1.0 : std::clamp(allowed / loss, 0.0, 1.0));
        }
        return pace;
    }

    double computeLostSlack(const State& state, const Worker& worker, ImageNumber filling, std::int64_t cpuMillis)
    {
        double sum = 0;
        for (const auto& [serving, count] : worker.servingImages)
            sum += state.interference.effect(serving, filling) * count;
        return sum * static_cast<double>(cpuMillis) / getCpuCapacity(worker);
    }

} // namespace

double expectedLoss(const State& state, const Worker& worker, ImageNumber serving)
{
    refreshExpectations(state, worker);
    const auto it = worker.expectedLosses.find(serving);
    return it == worker.expectedLosses.end() ? 0 : it->second;
}

FillingEstimate estimateFilling(const State& state, const Worker& worker, ImageNumber filling, std::int64_t cpuMillis)
{
    refreshExpectations(state, worker);
    const auto known = std::ranges::find_if(worker.fillingEstimates, [&](const FillingEstimate& it) {
        return it.image == filling && it.cpuMillis == cpuMillis && it.capacity == worker.capacity.cpuMillis;
    });
    if (known != worker.fillingEstimates.end())
        return *known;
    FillingEstimate estimate { filling, cpuMillis, worker.capacity.cpuMillis };
    estimate.pace = computeExpectedPace(state, worker, filling, cpuMillis);
    estimate.lostSlack = computeLostSlack(state, worker, filling, cpuMillis);
    if (worker.fillingEstimates.size() >= maxFillingEstimates)
        worker.fillingEstimates.clear();
    worker.fillingEstimates.push_back(estimate);
    return estimate;
}

bool hasSlackFor(const State& state, const Worker& worker, ImageNumber filling, std::int64_t cpuMillis)
{
    const auto pace = worker.paces.find(filling);
    if (pace != worker.paces.end() && pace->second < minPaceToPlace)
        return false;
    const auto use = static_cast<double>(cpuMillis) / getCpuCapacity(worker);
    return std::ranges::all_of(worker.minSlacks, [&](const auto& entry) {
        const auto effect = state.interference.effect(entry.first, filling);
        return effect < relevantEffect || entry.second - effect * use >= slackAfterPlacement;
    });
}

void reserveSlack(const State& state, Worker& worker, ImageNumber filling, std::int64_t cpuMillis)
{
    const auto use = static_cast<double>(cpuMillis) / getCpuCapacity(worker);
    for (auto& [serving, slack] : worker.minSlacks)
        slack -= state.interference.effect(serving, filling) * use;
}

void controlPace(State& state, Worker& worker, MonotonicTime now, Orders& orders)
{
    // Until its entry has been read, the capacity of the incarnation is not known, and its tasks keep their paces.
    if (worker.listedBorn != worker.born)
        return;
    if (now - worker.paceChangedAt >= controlInterval) {
        auto reading = collectReading(state, worker, now);
        updateTrends(state, reading, now);
        addSamples(state, reading);
        updateMinSlacks(worker, reading);
        worker.paceChangedAt = now;
        const auto before = worker.paces;
        updatePaces(state, worker, reading);
        if (before != worker.paces) {
            const auto lowest = std::ranges::min_element(worker.paces, {}, [](const auto& it) { return it.second; });
            orders.emplace_back(
                Decision { "pace_changed", {}, worker.id, "slack_" + std::to_string(static_cast<int>(reading.minSlack * 100)), {},
                    lowest == worker.paces.end() ? 100 : lowest->second });
        }
    }
    sendPaces(state, worker, orders);
}

void sendPaces(State& state, Worker& worker, Orders& orders)
{
    for (const auto& ref : worker.runs) {
        const auto [job, task, run] = findRunEntry(state, ref);
        if (!run || run->phase != RunPhase::Running || !getStepSpec(*job, ref.task.step).fills)
            continue;
        const auto it = worker.paces.find(job->images[ref.task.step]);
        run->pace = it == worker.paces.end() ? 100 : it->second;
        // Small changes are not worth a call, unless they reach 0 or 100 percent or leave 0.
        const bool isSettled = run->confirmedPace != unknownPace && std::abs(run->pace - run->confirmedPace) < minPaceChange
            && (run->pace > 0 || run->confirmedPace == 0) && (run->pace < 100 || run->confirmedPace == 100);
        if (isSettled || run->isPaceInFlight)
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
