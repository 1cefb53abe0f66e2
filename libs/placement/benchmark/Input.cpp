#include "Input.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace kingcuploom::trial {

namespace {

    constexpr int classCount = 8;
    constexpr int understatedClass = 5;
    constexpr int teamCount = 65;
    // Offered batch work as a share of the cores that standing tasks leave free.
    constexpr double offeredLoad = 0.85;
    constexpr double noisyShare = 0.1;
    constexpr double noisyShareInWave = 0.6;
    constexpr int standingPerWorker = 2;
    constexpr ResourceAmounts standingSize { CpuMillis(2000), MemoryMb(4000), Accelerators(0) };
    constexpr double worstSlowdown = 8;

    double normal(Random& random) { return std::sqrt(-2 * std::log(1 - random.unit())) * std::cos(2 * std::numbers::pi * random.unit()); }

    bool isWave(int second) { return (second >= 200 && second < 400) || (second >= 800 && second < 1000); }

    JobClass makeClass(int index, Random& random)
    {
        JobClass it;
        it.name = "class" + std::to_string(index);
        it.declared = { CpuMillis(1000 * std::int64_t(1 + random.below(3))), MemoryMb(1000 * std::int64_t(2 + random.below(5))), {} };
        it.used = it.declared;
        if (index == understatedClass)
            it.used = { CpuMillis(it.declared.cpu.value() * 7 / 5), MemoryMb(it.declared.memory.value() * 7 / 5), {} };
        it.meanRunSeconds = 40 + 120 * random.unit();
        it.isNoisy = index < 2;
        std::ranges::generate(it.effects, [&] { return 0.03 * random.unit(); });
        if (it.isNoisy) {
            // Interference is pairwise: each noisy class harms two services and spares one.
            it.effects[std::size_t(index)] = 0.25 + 0.25 * random.unit();
            it.effects[std::size_t(index + 1) % 3] = 0.15 + 0.2 * random.unit();
        }
        return it;
    }

    int pickClass(Random& random, int second)
    {
        if (random.unit() < (isWave(second) ? noisyShareInWave : noisyShare))
            return int(random.below(2));
        return 2 + int(random.below(classCount - 2));
    }

    std::vector<Arrival> arrivalsIn(Input& input, double coreSeconds, int second, double& owed, Random& random)
    {
        std::vector<Arrival> arrivals;
        // Work arrives in random pieces; what one piece exceeds is owed by the next seconds.
        owed += coreSeconds * 2 * random.unit();
        while (owed > 0) {
            const int index = pickClass(random, second);
            const auto& jobClass = input.classes[std::size_t(index)];
            // Run times are far from any declared value: a factor of three either way is common.
            const double run = std::clamp(jobClass.meanRunSeconds * std::exp(0.5 * normal(random)), 5.0, 600.0);
            arrivals.push_back({ index, TeamName("team" + std::to_string(random.below(teamCount))), run });
            owed -= run * double(jobClass.declared.cpu.value()) / 1000;
        }
        return arrivals;
    }

    // With its own numbers, so that losses do not change what arrives.
    std::vector<std::vector<std::size_t>> makeLosses(int workers, double lossesPerWorkerHour, std::uint64_t seed)
    {
        Random random(seed * 104729);
        std::vector<std::vector<std::size_t>> losses(trialSeconds);
        for (auto& lost : losses) {
            for (std::size_t i = 0; i < std::size_t(workers); ++i) {
                if (random.unit() < lossesPerWorkerHour / 3600)
                    lost.push_back(i);
            }
        }
        return losses;
    }

} // namespace

Input makeInput(const Site& site, std::uint64_t seed, double lossesPerWorkerHour)
{
    Random random(seed);
    Input input;
    for (int i = 0; i < classCount; ++i)
        input.classes.push_back(makeClass(i, random));
    const int standing = standingPerWorker * site.workers;
    for (int i = 0; i < standing; ++i) {
        const auto& service = services[std::size_t(i) % services.size()];
        input.standing.push_back(
            { { JobName(service), std::uint32_t(i) }, TeamName("urgent"), service, schema::JobKind::Standing, standingSize });
    }
    const double freeCores = site.workers * double(vmSize.cpu.value() - standingPerWorker * standingSize.cpu.value()) / 1000;
    double owed = freeCores * 30;
    for (int second = 0; second < trialSeconds; ++second)
        input.arrivals.push_back(arrivalsIn(input, freeCores * offeredLoad, second, owed, random));
    input.lostWorkers = makeLosses(site.workers, lossesPerWorkerHour, seed);
    return input;
}

double trueEffect(const Input& input, std::size_t service, std::size_t jobClass, int second)
{
    const double load = 1 + 0.25 * std::sin(2 * std::numbers::pi * second / 600 + double(service));
    return input.classes[jobClass].effects[service] * load;
}

double trueSlowdown(const Input& input, const std::string& service, const placement::ClassLoads& loads, int second)
{
    const auto index = std::size_t(std::ranges::find(services, service) - services.begin());
    double sum = 0;
    for (std::size_t i = 0; i < input.classes.size(); ++i) {
        if (const auto it = loads.find(input.classes[i].name); it != loads.end())
            sum += it->second * trueEffect(input, index, i, second);
    }
    return std::min(worstSlowdown, std::exp(sum));
}

double latencyNoise(Random& random) { return std::exp(0.3 * normal(random)); }
double measurementNoise(Random& random) { return std::exp(0.15 * normal(random)); }

} // namespace kingcuploom::trial
