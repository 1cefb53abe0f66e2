#include "TaskQueries.h"

#include "TeamUse.h"

#include "ledger/TaskStates.h"

#include <algorithm>

namespace kingcuploom {

using schema::TaskState;

namespace {

    JobSummary summarise(const JobName& name, const schema::JobRecordT& record)
    {
        JobSummary summary { name, TeamName(record.spec->team), record.spec->kind, record.cancelled, record.done, {} };
        for (const auto& task : record.tasks)
            ++summary.tasksByState[task->state];
        return summary;
    }

    std::string describe(const placement::PlacementRefusal& refusal)
    {
        std::string text;
        for (const auto& [reason, workers] : refusal.workersByReason)
            text += std::string(text.empty() ? "" : " ") + placement::toString(reason) + "=" + std::to_string(workers);
        return text;
    }

    // Why no shard was given to a waiting task.
    void explainWaiting(const TaskContext& context, const CapacityTable& capacities, const schema::JobSpecT& spec, TaskExplanation& result)
    {
        const auto demand = ledger::demandOf(spec);
        if (const auto quota = placement::checkQuota(teamUse(context), TeamName(spec.team), demand); !quota) {
            result.waitingFor = "QuotaExceeded";
            result.figures = std::string("kind=") + placement::toString(quota.error().kind)
                + " limit=" + std::to_string(quota.error().limit) + " would_use=" + std::to_string(quota.error().wouldUse);
            return;
        }
        const auto shards = capacities.recent(context.clock.now());
        const auto fitting = std::ranges::count_if(shards, [&](const auto& shard) { return fits(demand, shard.free); });
        result.waitingFor = fitting > 0 ? "NextAttemptTime" : "FreeCapacity";
        result.figures = "shards=" + std::to_string(shards.size()) + " fitting_shards=" + std::to_string(fitting);
    }

    void explainImpossible(const TaskContext& context, const schema::JobSpecT& spec, TaskExplanation& result)
    {
        result.waitingFor = schema::EnumNameEndReason(schema::EndReason::NoSuchCapacity);
        const auto check = placement::checkFleet(vmCapacities(*context.targets.snapshot()), ledger::demandOf(spec));
        if (check)
            return;
        result.waitingFor = placement::toString(check.error().reason);
        result.figures = largestFigures(check.error());
    }

    void explainAssigned(const TaskContext& context, const LedgerDriver& driver, TaskExplanation& result)
    {
        const ledger::AttemptKey key { result.task, result.attempt };
        result.shardOwner = context.ownership.ownerOf(result.shard);
        const auto record = context.records.find(result.shard);
        const auto* entry = record ? ledger::findEntry(*record, key) : nullptr;
        if (!entry) {
            result.waitingFor = "ShardOwner";
            return;
        }
        result.ledgerState = entry->state;
        result.worker = VmId(entry->worker);
        result.checkpoint = std::max(result.checkpoint, entry->checkpoint);
        if (entry->state == TaskState::Starting)
            result.waitingFor = "WorkerStart";
        const auto note = driver.noteOf(result.shard, result.worker, key);
        result.sharePerMille = note.sharePerMille;
        if (entry->state != TaskState::Assigned)
            return;
        result.waitingFor = note.isBackingOff ? "BackingOff" : "Placement";
        if (note.refusal && !note.isBackingOff) {
            result.waitingFor = placement::toString(note.refusal->reason);
            result.figures = describe(*note.refusal);
        }
    }

} // namespace

std::vector<JobSummary> summariseJobs(const JobBoard& jobs)
{
    std::vector<JobSummary> summaries;
    for (const auto& [name, job] : jobs.all())
        summaries.push_back(summarise(name, *job.record));
    return summaries;
}

Expected<TaskExplanation, ledger::JobError> explain(
    const TaskContext& context, const LedgerDriver& driver, const CapacityTable& capacities, const TaskId& id)
{
    const auto job = context.jobs.find(id.job);
    if (!job.record)
        return makeUnexpected(ledger::JobError { ledger::JobErrorCode::NoSuchJob, "" });
    if (id.index >= job.record->tasks.size())
        return makeUnexpected(ledger::JobError { ledger::JobErrorCode::NoSuchTask, "" });
    const auto& task = *job.record->tasks[id.index];
    TaskExplanation result;
    result.task = id;
    result.attempt = Attempt(task.attempt);
    result.state = task.state;
    result.lastEndReason = task.end_reason;
    result.failures = task.failures;
    result.failedWorkers = task.failed_workers;
    result.checkpoint = task.checkpoint;
    result.shard = ShardId(task.shard);
    if (task.state == TaskState::Assigned)
        explainAssigned(context, driver, result);
    else if (task.state == TaskState::Impossible)
        explainImpossible(context, *job.record->spec, result);
    else if (!ledger::isFinal(task.state))
        explainWaiting(context, capacities, *job.record->spec, result);
    return result;
}

} // namespace kingcuploom
