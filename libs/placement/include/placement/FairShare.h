#pragma once

#include "placement/Placement.h"

#include <span>

namespace kingcuploom::placement {

// A team and what its running tasks use.
struct TeamShare {
    schema::TeamSpecT spec;
    ResourceAmounts inUse;
};

using TeamShares = std::map<TeamName, TeamShare>;

enum class QuotaKind {
    Cpu,
    Memory,
    Accelerators,
};

const char* toString(QuotaKind);

// A limit that the task would exceed. Figures in the unit of the kind.
struct QuotaRefusal {
    QuotaKind kind = QuotaKind::Cpu;
    std::int64_t limit = 0;
    std::int64_t wouldUse = 0;
};

// A running task that may be preempted.
struct RunningTask {
    TaskId task;
    TeamName team;
    schema::JobKind kind = schema::JobKind::Batch;
    VmId worker;
    ResourceAmounts use;
    // Work since the last checkpoint.
    Milliseconds workAtRisk {};
};

struct Preemption {
    VmId worker;
    std::vector<TaskId> victims;
};

enum class PreemptionRefusal {
    // Only standing tasks preempt.
    NotUrgent,
    // No worker has enough batch tasks.
    NoVictims,
};

// Largest share of any resource kind divided by the weight; the default weight of 100 counts as 1.
double weightedDominantShare(const TeamShare&, const ResourceAmounts& total);

// A team without a spec has no limits.
Expected<void, QuotaRefusal> checkQuota(const TeamShares&, const TeamName&, const ResourceAmounts& demand);

// Indices of the tasks in the order to place them: standing before batch, then the team with the lowest share, each task counted.
std::vector<std::size_t> orderByFairShare(const TeamShares&, std::span<const PlacementTask>, const ResourceAmounts& total);

// Batch tasks to evict so that the standing task fits on one worker: of teams at or over the mean share, else of any team.
Expected<Preemption, PreemptionRefusal> choosePreemption(const PlacementView&, const PlacementTask&, std::span<const RunningTask>,
    const TeamShares&, const ResourceAmounts& total, MonotonicTime now);

// Batch tasks to evict from a worker whose observed use exceeds its capacity, least work at risk first; none when it does not.
std::vector<TaskId> chooseOvercommitVictims(const WorkerView&, std::span<const RunningTask>);

} // namespace kingcuploom::placement
