#include "FailurePolicy.h"

#include "ledger/TaskStates.h"

#include <algorithm>

namespace kingcuploom {

using ledger::AttemptKey;
using ledger::keyOf;
using placement::WorkerStanding;
using schema::EndReason;
using schema::TaskState;

namespace {

    // Failures of one job in a row, over distinct attempts, after which a worker is at fault if the job succeeds on other workers. Without
    // this rule a worker that fails everything attracts all tasks of a large job, because it is always free.
    constexpr unsigned failuresOfOneJob = 5;
    constexpr Milliseconds quarantineOfOneJob { 30000 };

    struct Ends {
        const ShardViewSource& source;
        const VmId& vm;
        ShardMemory& memory;
        WorkerMemory& worker;
        std::vector<PolicyAction> actions;
    };

    std::size_t workerCount(const ShardViewSource& source)
    {
        const auto listed = source.targets.shards.find(source.shard);
        return listed == source.targets.shards.end() ? 0 : listed->second.size();
    }

    void noteQuarantine(Ends& ends, const AttemptKey& key, const char* reason)
    {
        ends.actions.push_back(
            { key, "quarantine_worker", reason, "failures_in_a_row=" + std::to_string(ends.worker.failuresInARow), ends.vm });
    }

    bool isJobAtFault(const Ends& ends, const JobName& job)
    {
        const auto it = ends.memory.lastSuccess.find(job);
        return it == ends.memory.lastSuccess.end() || it->second == ends.vm;
    }

    void countFailure(Ends& ends, const AttemptKey& key, ledger::AttemptOutcome& outcome)
    {
        auto& failures = ends.memory.failures;
        const auto now = ends.source.now;
        const auto before = placement::standingOf(failures, ends.vm, now);
        const auto verdict = placement::noteFailure(failures, ends.vm, key.task, workerCount(ends.source), now);
        const bool isOneJobRule = ++ends.worker.failuresInARow >= failuresOfOneJob && !isJobAtFault(ends, key.task.job);
        const bool isSuspect = isOneJobRule || !failures.tasks.at(key.task).workers.contains(ends.vm);
        outcome.reason = isSuspect ? EndReason::WorkerFault : EndReason::WorkFailed;
        if (verdict == placement::FailureVerdict::TaskFault)
            outcome.reason = EndReason::TaskFault;
        const bool isQuarantined = placement::standingOf(failures, ends.vm, now) == WorkerStanding::Quarantined;
        if (isQuarantined && before != WorkerStanding::Quarantined)
            noteQuarantine(ends, key, before == WorkerStanding::Probing ? "ProbeFailed" : "FailsSeveralJobs");
        if (!isOneJobRule || isQuarantined)
            return;
        ends.worker.quarantinedUntil = now + quarantineOfOneJob;
        noteQuarantine(ends, key, "FailsInARow");
    }

    void countSuccess(Ends& ends, const AttemptKey& key)
    {
        const bool wasProbing = placement::standingOf(ends.memory.failures, ends.vm, ends.source.now) == WorkerStanding::Probing;
        if (wasProbing)
            ends.actions.push_back({ key, "reinstate_worker", "ProbeSucceeded", "", ends.vm });
        placement::noteSuccess(ends.memory.failures, ends.vm, key.task);
        ends.worker.failuresInARow = 0;
        ends.memory.lastSuccess[key.task.job] = ends.vm;
    }

    bool isRunningOn(const schema::ShardRecordT& record, const VmId& vm, const TaskId& task)
    {
        return std::ranges::any_of(record.entries, [&](const auto& entry) {
            return entry->worker == vm.value() && ledger::holdsCapacity(entry->state) && keyOf(*entry).task == task;
        });
    }

    // A placed task that has not started yet is the probe.
    bool hasStart(const ShardViewSource& source, const VmId& vm) { return !ledger::startingOn(source.record, vm).empty(); }

} // namespace

std::vector<PolicyAction> noteEnds(
    const ShardViewSource& source, const VmId& vm, ledger::Outcomes& outcomes, ShardMemory& memory, WorkerMemory& worker)
{
    Ends ends { source, vm, memory, worker, {} };
    for (auto& [key, outcome] : outcomes) {
        const bool isFailure = outcome.state == TaskState::Failed;
        if ((!isFailure && outcome.state != TaskState::Finished) || !worker.countedEnds.insert(key).second)
            continue;
        if (isFailure)
            countFailure(ends, key, outcome);
        else
            countSuccess(ends, key);
    }
    std::erase_if(worker.countedEnds, [&](const AttemptKey& key) { return !outcomes.contains(key); });
    return std::move(ends.actions);
}

void tidyFailures(const schema::ShardRecordT& record, ShardMemory& memory, const std::function<bool(const JobName&)>& isDone)
{
    auto& failures = memory.failures;
    std::vector<std::pair<VmId, TaskId>> lostProbes;
    for (const auto& [vm, worker] : failures.workers) {
        if (worker.probe && !isRunningOn(record, vm, *worker.probe))
            lostProbes.emplace_back(vm, *worker.probe);
    }
    for (const auto& [vm, task] : lostProbes)
        placement::noteProbeLost(failures, vm, task);
    std::erase_if(failures.tasks, [&](const auto& entry) { return isDone(entry.first.job); });
    std::erase_if(failures.failedWorkersOfJob, [&](const auto& entry) { return isDone(entry.first); });
    std::erase_if(memory.lastSuccess, [&](const auto& entry) { return isDone(entry.first); });
}

void applyStandings(placement::PlacementView& view, const ShardViewSource& source)
{
    for (auto& worker : view.workers) {
        const auto standing = placement::standingOf(source.memory.failures, worker.vm, source.now);
        if (standing == WorkerStanding::Quarantined)
            worker.quarantinedUntil = source.memory.failures.workers.at(worker.vm).quarantinedUntil;
        else if (standing == WorkerStanding::Probing || (standing == WorkerStanding::ProbeDue && hasStart(source, worker.vm)))
            worker.quarantinedUntil = MonotonicTime::max();
        else
            worker.isProbeDue = standing == WorkerStanding::ProbeDue;
    }
}

Expected<std::size_t, placement::PlacementRefusal> chooseAvoiding(
    placement::PlacementView& view, const placement::PlacementTask& task, const std::vector<std::string>& avoided, MonotonicTime now)
{
    std::vector<placement::WorkerView*> hidden;
    for (auto& worker : view.workers) {
        const bool isAvoided = std::ranges::find(avoided, worker.vm.value()) != avoided.end();
        if (isAvoided && !worker.isSilent)
            hidden.push_back(&worker);
    }
    if (hidden.empty())
        return placement::chooseWorker(view, task, now);
    std::ranges::for_each(hidden, [](auto* worker) { worker->isSilent = true; });
    auto choice = placement::chooseWorker(view, task, now);
    std::ranges::for_each(hidden, [](auto* worker) { worker->isSilent = false; });
    return choice ? choice : placement::chooseWorker(view, task, now);
}

} // namespace kingcuploom
