#pragma once

#include "schema/generated/resources_generated.h"

#include <array>
#include <cstdint>
#include <string>

namespace kingcuploom::trial {

struct Site {
    std::string name;
    int workers = 50;
    int workersPerRack = 8;
    int domains = 3;
};

enum class Decisions {
    // Placement and controller with learned interference and lagging, noisy reports.
    Learned,
    // Knows the true interference and measures without lag or noise.
    Oracle,
    // First worker with room for the declared size; no controller.
    FirstFit,
};

enum class Checkpoints {
    // Each task after 30 s of work.
    Fixed,
    Decided,
    None,
};

struct Variant {
    std::string name;
    Decisions decisions = Decisions::Learned;
    schema::PolicySpecT policy;
    bool canThrottle = true;
    Checkpoints checkpoints = Checkpoints::Fixed;
    // A checkpoint stops the task for so long.
    int checkpointCostSeconds = 0;
    double lossesPerWorkerHour = 0;
    // Tasks leave a failure domain at the rate of the policy, as in the daemon; otherwise all at once.
    bool isPaced = false;
};

// Figures of one run.
struct Result {
    // Service latency relative to the undisturbed median.
    double serviceP50 = 0;
    double serviceP99 = 0;
    // Cores kept busy with batch work that was not lost, as a share of the fleet's cores.
    double throughput = 0;
    double evictions = 0;
    double preemptions = 0;
    double throttles = 0;
    // Core-seconds that were done and lost by evictions, preemptions and losses of workers.
    double lostWork = 0;
    // Throughput from the failure domain's leaving until a minute after its return.
    double throughputWhileAway = 0;
    // Standing tasks without a place for longer than 2 s.
    double lateUrgentStarts = 0;
    // VM-seconds with more actual use than the VM has, and evictions for it.
    double overcommittedSeconds = 0;
    double overcommitEvictions = 0;
    // Largest share of a VM's resources that was assigned by declared size.
    double peakAssigned = 0;
    double checkpoints = 0;
    // Core-seconds for which checkpoints stopped tasks.
    double checkpointWork = 0;
    // Throughput and p99 of the services in the 100 s before the failure domain leaves, while it is away, and in the 60 s after its return.
    std::array<double, 3> phaseThroughput {};
    std::array<double, 3> phaseP99 {};
    // Starts in the domain later than 3 s after it was taken out.
    double startsWhileOut = 0;
    double mostMovesPerSecond = 0;
    // Most starts in the domain within one second after its return.
    double mostStartsOnReturn = 0;
    // Time until the last task was moved.
    double drainSeconds = 0;
};

// Arrivals, run times, reports and noise depend on the seed only, so that variants are compared on the same input.
Result runTrial(const Site&, const Variant&, std::uint64_t seed);

} // namespace kingcuploom::trial
