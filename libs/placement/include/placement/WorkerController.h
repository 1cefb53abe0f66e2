#pragma once

#include "base/Ids.h"
#include "placement/Interference.h"
#include "placement/SlowdownBounds.h"

#include <optional>
#include <vector>

namespace kingcuploom::placement {

// Evictions that the policy allows, shared by the workers of one shard.
struct EvictionBudget {
    double tokens = 0;
    MonotonicTime refilledAt {};
};

struct ControllerState {
    // Smoothed difference of measured and predicted logarithm of the slowdown, by service.
    std::map<std::string, double> residuals;
    // Only measurements taken after the last action say whether it helped.
    std::optional<MonotonicTime> lastActionAt;
    MonotonicTime lastMeasuredAt {};
    // Since when the worst service has been below the low bound, and above the high bound with all throttles used up.
    std::optional<MonotonicTime> calmSince;
    std::optional<MonotonicTime> exhaustedSince;
};

// A batch task on the worker.
struct ControlledTask {
    TaskId task;
    std::string className;
    unsigned sharePerMille = 1000;
    // Work since the last checkpoint.
    Milliseconds workAtRisk {};
};

struct WorkerReport {
    MonotonicTime measuredAt {};
    // Measured factor by service.
    std::map<std::string, double> slowdowns;
    // What ran then, see presentAt().
    ClassLoads loadsThen;
    std::vector<ControlledTask> batch;
    // False when the worker refuses throttle calls; evictions are the only action then.
    bool canThrottle = true;
};

enum class ControlKind {
    Throttle,
    Release,
    CheckpointAndEvict,
};

struct ControlAction {
    ControlKind kind = ControlKind::Throttle;
    TaskId task;
    // New share; unused for evictions.
    unsigned sharePerMille = 1000;
};

// Adds the tokens of the time since the last refill.
void refill(EvictionBudget&, const schema::PolicySpecT&, MonotonicTime now);

// Actions for one worker. Takes a token from the budget for each eviction.
std::vector<ControlAction> decide(
    ControllerState&, EvictionBudget&, const WorkerReport&, const InterferenceModel&, const schema::PolicySpecT&, MonotonicTime now);

} // namespace kingcuploom::placement
