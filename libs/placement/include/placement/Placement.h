#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/ResourceAmounts.h"
#include "placement/ClassCorrection.h"
#include "placement/Interference.h"
#include "schema/generated/resources_generated.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kingcuploom::placement {

// A worker as its shard's owner sees it.
struct WorkerView {
    VmId vm;
    FailureDomain domain;
    Rack rack;
    ResourceAmounts capacity;
    // Sum over the tasks placed here of the larger of declared and observed use.
    ResourceAmounts inUse;
    bool leaving = false;
    // The last call to the worker failed.
    bool isSilent = false;
    std::optional<MonotonicTime> quarantinedUntil;
    // Tasks of each job placed here.
    std::map<JobName, int> tasksOfJob;
    // Quarantine is over; the worker takes one task, see FailureHistory.h.
    bool isProbeDue = false;
    // Standing tasks here by service, with the predicted logarithm of their slowdown.
    std::map<std::string, double> services {};
    // Batch tasks here by class.
    ClassLoads batchLoads {};
};

struct PlacementView {
    std::vector<WorkerView> workers;
    std::set<FailureDomain> outOfService;
    // Weights of the score; the defaults of the schema when empty.
    std::optional<schema::PolicySpecT> policy {};
    // Learned by the owner, who keeps it alive; without one, interference does not count.
    const InterferenceModel* interference = nullptr;
    // Workers scored per decision; 0 for all. Bounds the time of a decision over a large fleet.
    std::size_t maxScored = 0;
    // Tasks of each job by rack; kept by addTask().
    std::map<JobName, std::map<Rack, int>> racksOfJob {};
};

struct PlacementTask {
    TaskId task;
    TeamName team;
    std::string className;
    schema::JobKind kind = schema::JobKind::Batch;
    ResourceAmounts demand;
    // Work that an eviction is expected to repeat, with the time of a restart.
    Milliseconds restartCost {};
};

// Why a worker was not chosen.
enum class RefusalReason {
    NoWorkers,
    DomainOutOfService,
    WorkerLeaving,
    WorkerQuarantined,
    WorkerSilent,
    NoFreeCpu,
    NoFreeMemory,
    NoFreeAccelerators,
    // The services there already suffer so much that the task would only run throttled.
    TooMuchInterference,
};

const char* toString(RefusalReason);

struct PlacementRefusal {
    // The reason that excluded the most workers.
    RefusalReason reason = RefusalReason::NoWorkers;
    std::map<RefusalReason, int> workersByReason;
};

// The worker to run the task on. Does not change the view.
Expected<VmId, PlacementRefusal> choosePlacement(const PlacementView&, const PlacementTask&, MonotonicTime now);

// Index of that worker in the view.
Expected<std::size_t, PlacementRefusal> chooseWorker(const PlacementView&, const PlacementTask&, MonotonicTime now);

struct ReservedChoice {
    // Index of the worker in the view.
    std::size_t worker = 0;
    // Amounts to add to its use until the task's own use has been reported.
    ResourceAmounts reserve;
};

// Chooses for a task whose demand is the declared one and whose use is unknown. "unreportedOfClass" counts the running tasks of its
// class that no report covers yet.
Expected<ReservedChoice, PlacementRefusal> chooseWithReserve(
    const PlacementView&, const PlacementTask&, const ClassCorrection&, std::size_t unreportedOfClass, MonotonicTime now);

// Whether the worker takes any task at all, whatever its free capacity.
bool mayRunTasks(const WorkerView&, const PlacementView&, MonotonicTime now);

// Adds a task with its class to the worker at this index, so that the next choice counts its size and interference.
void addTask(PlacementView&, std::size_t worker, const PlacementTask&, const ResourceAmounts&);

// Adds a task to the worker's use, so that the next choice counts it.
void addTask(PlacementView&, const VmId&, const TaskId&, const ResourceAmounts&);

// Amounts that are still free; never negative.
ResourceAmounts freeAmounts(const WorkerView&);

} // namespace kingcuploom::placement
