#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <map>
#include <optional>
#include <set>

namespace kingcuploom::placement {

// Failures of a task on workers, for backoff and for finding out whose fault they are.
struct TaskFailures {
    std::set<VmId> workers;
    unsigned inARow = 0;
    // The task waits until then before it starts again.
    MonotonicTime retryAt {};
};

// Failures of tasks on a worker since its last success.
struct WorkerFailures {
    unsigned inARow = 0;
    std::set<JobName> jobs;
    // Quarantines since the last success.
    unsigned quarantines = 0;
    std::optional<MonotonicTime> quarantinedUntil;
    // The one task that runs after the quarantine.
    std::optional<TaskId> probe;
};

struct FailureTable {
    std::map<TaskId, TaskFailures> tasks;
    std::map<VmId, WorkerFailures> workers;
    // Workers on which tasks of the job failed and that have not failed other jobs.
    std::map<JobName, std::set<VmId>> failedWorkersOfJob;
};

enum class WorkerStanding {
    Healthy,
    Quarantined,
    // Takes one task.
    ProbeDue,
    Probing,
};

const char* toString(WorkerStanding);

enum class FailureVerdict {
    Retry,
    // Failed on enough distinct healthy workers to be the task's own fault.
    TaskFault,
};

void noteStart(FailureTable&, const VmId&, const TaskId&, MonotonicTime now);
void noteSuccess(FailureTable&, const VmId&, const TaskId&);

// A probe that ended without a result: evicted, cancelled or lost.
void noteProbeLost(FailureTable&, const VmId&, const TaskId&);

// "workerCount" is the number of workers in the shard; at most half of them are quarantined.
FailureVerdict noteFailure(FailureTable&, const VmId&, const TaskId&, std::size_t workerCount, MonotonicTime now);

WorkerStanding standingOf(const FailureTable&, const VmId&, MonotonicTime now);
bool isBackingOff(const FailureTable&, const TaskId&, MonotonicTime now);

// Drops what is known of a task that is done.
void forgetTask(FailureTable&, const TaskId&);

} // namespace kingcuploom::placement
