#include "ledger/JobRecords.h"

#include "ledger/TaskStates.h"

#include <algorithm>

namespace kingcuploom::ledger {

using schema::EndReason;
using schema::TaskState;

namespace {

    // The name is part of a store key and of "<job>/<index>".
    bool isNameAllowed(const std::string& name)
    {
        constexpr std::size_t maxNameLength = 128;
        const auto isAllowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
        return !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, isAllowed);
    }

    // A third healthy worker with the same result makes a fault of the workers unlikely.
    constexpr std::size_t workersForTaskFault = 3;

    // Attempts without progress after which the task is taken for the cause of the restarts of its workers.
    constexpr std::uint32_t maxWorkerRestarts = 5;
    // Restarts that lie further apart have causes of their own. A standing task may outlive any number of them.
    constexpr Milliseconds maxRestartInterval { 10 * 60'000 };

    void countWorkerRestart(schema::JobTaskT& task, const schema::LedgerEntryT& entry, std::int64_t wallMs)
    {
        // Whether the worker restarted or was only silent is not known, so this attempt says nothing about the task.
        if (entry.end_reason == EndReason::LeaseLapsed)
            return;
        const bool hasProgressed = entry.checkpoint > task.checkpoint;
        const bool isRecent = wallMs - task.worker_restarted_at_ms <= maxRestartInterval.count();
        if (entry.end_reason != EndReason::WorkerRestarted || hasProgressed || !isRecent)
            task.worker_restarts = 0;
        if (entry.end_reason != EndReason::WorkerRestarted || hasProgressed)
            return;
        ++task.worker_restarts;
        task.worker_restarted_at_ms = wallMs;
    }

    void noteFailure(schema::JobTaskT& task, const schema::LedgerEntryT& entry)
    {
        ++task.failures;
        const bool isKnown = std::ranges::find(task.failed_workers, entry.worker) != task.failed_workers.end();
        if (entry.end_reason != EndReason::WorkerFault && !isKnown)
            task.failed_workers.push_back(entry.worker);
    }

    bool isTaskFault(const schema::LedgerEntryT& entry, const schema::JobTaskT& task)
    {
        return entry.end_reason == EndReason::TaskFault || task.failed_workers.size() >= workersForTaskFault
            || task.worker_restarts >= maxWorkerRestarts;
    }

    // An attempt that failed is repeated until the task has used up its executions. Evictions do not count as executions of the
    // task's own making, so a domain that leaves often fails no task.
    TaskState stateAfter(const schema::LedgerEntryT& entry, const schema::JobRecordT& job, const schema::JobTaskT& task)
    {
        if (entry.state != TaskState::Failed)
            return task.worker_restarts >= maxWorkerRestarts ? TaskState::Failed : entry.state;
        const bool isLast = isTaskFault(entry, task) || task.failures >= job.spec->max_attempts;
        return isLast ? TaskState::Failed : TaskState::Evicted;
    }

} // namespace

const char* toString(JobErrorCode code)
{
    switch (code) {
    case JobErrorCode::InvalidSpecification:
        return "InvalidSpecification";
    case JobErrorCode::DifferentSpecification:
        return "DifferentSpecification";
    case JobErrorCode::NoSuchJob:
        return "NoSuchJob";
    case JobErrorCode::NoSuchTask:
        return "NoSuchTask";
    case JobErrorCode::StoreUnavailable:
        return "StoreUnavailable";
    case JobErrorCode::OutcomeUnknown:
        break;
    }
    return "OutcomeUnknown";
}

Expected<void, JobError> checkSpec(const schema::JobSpecT& spec)
{
    const auto invalid = [](const char* field) { return makeUnexpected(JobError { JobErrorCode::InvalidSpecification, field }); };
    if (!isNameAllowed(spec.name))
        return invalid("name");
    if (spec.team.empty())
        return invalid("team");
    if (spec.task_count == 0 || spec.task_count > maxTasksPerJob)
        return invalid("task_count");
    if (spec.cpu_millis <= 0)
        return invalid("cpu_millis");
    if (spec.memory_mb <= 0)
        return invalid("memory_mb");
    if (spec.accelerators < 0)
        return invalid("accelerators");
    // Towards workers 0 means "until stopped".
    if (spec.kind == schema::JobKind::Batch && spec.work_ms == 0)
        return invalid("work_ms");
    if (spec.max_attempts == 0)
        return invalid("max_attempts");
    return {};
}

schema::JobRecordT makeJobRecord(const schema::JobSpecT& spec, const std::string& actor)
{
    schema::JobRecordT record;
    record.spec = std::make_unique<schema::JobSpecT>(spec);
    record.submitted_by = actor;
    record.tasks.resize(spec.task_count);
    std::ranges::generate(record.tasks, [] { return std::make_unique<schema::JobTaskT>(); });
    return record;
}

bool isSameSpec(const schema::JobSpecT& a, const schema::JobSpecT& b)
{
    return a.name == b.name && a.team == b.team && a.kind == b.kind && a.class_name == b.class_name && a.task_count == b.task_count
        && a.cpu_millis == b.cpu_millis && a.memory_mb == b.memory_mb && a.accelerators == b.accelerators && a.work_ms == b.work_ms
        && a.max_attempts == b.max_attempts;
}

bool cancel(schema::JobRecordT& record)
{
    if (record.cancelled || record.done)
        return false;
    record.cancelled = true;
    return true;
}

std::vector<TakenEnd> takeOverEnds(schema::JobRecordT& record, const LedgerLookup& lookup, std::int64_t wallMs)
{
    std::vector<TakenEnd> taken;
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        auto& task = *record.tasks[index];
        if (task.state != TaskState::Assigned)
            continue;
        const AttemptKey key { { JobName(record.spec->name), index }, Attempt(task.attempt) };
        const auto* entry = lookup(ShardId(task.shard), key);
        if (!entry || !isEnded(entry->state))
            continue;
        const bool hasFailed = entry->state == TaskState::Failed;
        if (hasFailed)
            noteFailure(task, *entry);
        countWorkerRestart(task, *entry, wallMs);
        task.state = stateAfter(*entry, record, task);
        task.end_reason = task.state == TaskState::Failed && isTaskFault(*entry, task) ? EndReason::TaskFault : entry->end_reason;
        task.checkpoint = std::max(task.checkpoint, entry->checkpoint);
        taken.push_back({ key, task.state, task.end_reason });
    }
    return taken;
}

bool cancelUnassigned(schema::JobRecordT& record)
{
    if (!record.cancelled)
        return false;
    bool changed = false;
    for (auto& task : record.tasks) {
        if (task->state == TaskState::Assigned || isFinal(task->state))
            continue;
        task->state = TaskState::Cancelled;
        task->end_reason = EndReason::Cancelled;
        changed = true;
    }
    return changed;
}

bool updateDone(schema::JobRecordT& record)
{
    const bool done = std::ranges::all_of(record.tasks, [](const auto& task) { return isFinal(task->state); });
    if (done == record.done)
        return false;
    record.done = done;
    return true;
}

} // namespace kingcuploom::ledger
