#pragma once

#include "Trial.h"
#include "base/Random.h"
#include "placement/Placement.h"

#include <array>
#include <string>
#include <vector>

namespace kingcuploom::trial {

constexpr int trialSeconds = 1200;
constexpr int warmUpSeconds = 60;
constexpr int domainOutAt = 500;
constexpr int domainBackAt = 740;
constexpr int restartSeconds = 3;
constexpr int replaceSeconds = 60;
constexpr double checkpointSeconds = 30;
constexpr ResourceAmounts vmSize { CpuMillis(16000), MemoryMb(60000), Accelerators(0) };

inline const std::array<std::string, 3> services { "proof", "check", "watch" };

struct JobClass {
    std::string name;
    ResourceAmounts declared;
    // Actual use; one class uses more than declared.
    ResourceAmounts used;
    double meanRunSeconds = 0;
    bool isNoisy = false;
    // Logarithm of the slowdown by one task, per service; not known to the scheduler.
    std::array<double, 3> effects {};
};

struct Arrival {
    int classIndex = 0;
    TeamName team;
    double runSeconds = 0;
};

struct Input {
    std::vector<JobClass> classes;
    std::vector<placement::PlacementTask> standing;
    // By second.
    std::vector<std::vector<Arrival>> arrivals;
    // Indices of the workers that are lost, by second.
    std::vector<std::vector<std::size_t>> lostWorkers;
};

Input makeInput(const Site&, std::uint64_t seed, double lossesPerWorkerHour);

// The true effect shifts with the load of the service.
double trueEffect(const Input&, std::size_t service, std::size_t jobClass, int second);
double trueSlowdown(const Input&, const std::string& service, const placement::ClassLoads&, int second);

double latencyNoise(Random&);
double measurementNoise(Random&);

} // namespace kingcuploom::trial
