#include "placement/FailureHistory.h"

#include <algorithm>

namespace kingcuploom::placement {

namespace {

    // Two tasks of different jobs and one repetition: a job that fails everywhere quarantines no worker.
    constexpr unsigned failuresForQuarantine = 3;
    constexpr std::size_t jobsForQuarantine = 2;
    // A third healthy worker with the same result makes a fault of the workers unlikely.
    constexpr std::size_t workersForTaskFault = 3;
    constexpr std::chrono::seconds firstQuarantine { 30 };
    constexpr std::chrono::seconds longestQuarantine { 600 };
    constexpr std::chrono::seconds firstBackoff { 1 };
    constexpr std::chrono::seconds longestBackoff { 120 };
    constexpr unsigned maxDoublings = 20;

    std::chrono::seconds backoff(std::chrono::seconds first, std::chrono::seconds longest, unsigned doublings)
    {
        return std::min(longest, std::chrono::seconds(first.count() << std::min(doublings, maxDoublings)));
    }

    // A fault of the whole shard, such as a broken image, must not take all of its workers out.
    bool mayQuarantineMore(const FailureTable& table, std::size_t workerCount)
    {
        const auto quarantined
            = std::ranges::count_if(table.workers, [](const auto& entry) { return entry.second.quarantinedUntil.has_value(); });
        return (static_cast<std::size_t>(quarantined) + 1) * 2 <= std::max<std::size_t>(2, workerCount);
    }

    void quarantine(WorkerFailures& worker, MonotonicTime now)
    {
        worker.quarantinedUntil = now + backoff(firstQuarantine, longestQuarantine, worker.quarantines);
        ++worker.quarantines;
        worker.probe.reset();
    }

    // Until a second job fails on the worker, the job is as likely the cause as the worker.
    bool isSuspect(const WorkerFailures& worker) { return worker.quarantinedUntil || worker.jobs.size() >= jobsForQuarantine; }

} // namespace

const char* toString(WorkerStanding standing)
{
    switch (standing) {
    case WorkerStanding::Healthy:
        return "Healthy";
    case WorkerStanding::Quarantined:
        return "Quarantined";
    case WorkerStanding::ProbeDue:
        return "ProbeDue";
    case WorkerStanding::Probing:
        break;
    }
    return "Probing";
}

void noteStart(FailureTable& table, const VmId& vm, const TaskId& task, MonotonicTime now)
{
    if (standingOf(table, vm, now) == WorkerStanding::ProbeDue)
        table.workers.at(vm).probe = task;
}

void noteSuccess(FailureTable& table, const VmId& vm, const TaskId& task)
{
    table.workers.erase(vm);
    table.failedWorkersOfJob.erase(task.job);
    forgetTask(table, task);
}

void noteProbeLost(FailureTable& table, const VmId& vm, const TaskId& task)
{
    const auto it = table.workers.find(vm);
    if (it != table.workers.end() && it->second.probe == task)
        it->second.probe.reset();
}

FailureVerdict noteFailure(FailureTable& table, const VmId& vm, const TaskId& task, std::size_t workerCount, MonotonicTime now)
{
    auto& failures = table.tasks[task];
    failures.retryAt = now + backoff(firstBackoff, longestBackoff, failures.inARow);
    ++failures.inARow;
    auto& worker = table.workers[vm];
    worker.jobs.insert(task.job);
    const bool suspect = isSuspect(worker);
    auto& failedWorkers = table.failedWorkersOfJob[task.job];
    if (!suspect) {
        failures.workers.insert(vm);
        failedWorkers.insert(vm);
    }
    const bool isJobSuspect = failedWorkers.size() >= workersForTaskFault;
    if (!isJobSuspect || suspect)
        ++worker.inARow;
    const bool isProbeFailed = worker.probe == task;
    const bool isOverLimit = suspect && !worker.quarantinedUntil && worker.inARow >= failuresForQuarantine;
    if (isProbeFailed || (isOverLimit && mayQuarantineMore(table, workerCount)))
        quarantine(worker, now);
    return failures.workers.size() >= workersForTaskFault ? FailureVerdict::TaskFault : FailureVerdict::Retry;
}

WorkerStanding standingOf(const FailureTable& table, const VmId& vm, MonotonicTime now)
{
    const auto it = table.workers.find(vm);
    if (it == table.workers.end() || !it->second.quarantinedUntil)
        return WorkerStanding::Healthy;
    if (now < *it->second.quarantinedUntil)
        return WorkerStanding::Quarantined;
    return it->second.probe ? WorkerStanding::Probing : WorkerStanding::ProbeDue;
}

bool isBackingOff(const FailureTable& table, const TaskId& task, MonotonicTime now)
{
    const auto it = table.tasks.find(task);
    return it != table.tasks.end() && now < it->second.retryAt;
}

void forgetTask(FailureTable& table, const TaskId& task) { table.tasks.erase(task); }

} // namespace kingcuploom::placement
