#include "ledger/ShardLedger.h"

#include "ledger/TaskStates.h"

#include <algorithm>

namespace kingcuploom::ledger {

using schema::EndReason;
using schema::JobKind;
using schema::TaskState;

namespace {

    using EntryPointer = std::unique_ptr<schema::LedgerEntryT>;

    template <typename Change> unsigned changeEach(schema::ShardRecordT& record, const Change& change)
    {
        return static_cast<unsigned>(std::ranges::count_if(record.entries, [&](const EntryPointer& entry) { return change(*entry); }));
    }

    bool moveTo(schema::LedgerEntryT& entry, TaskState state, EndReason reason)
    {
        if (!isTransitionAllowed(entry.state, state))
            return false;
        entry.state = state;
        entry.end_reason = reason;
        return true;
    }

    EntryPointer makeEntry(const AssignedTask& task)
    {
        const auto& spec = *task.job.record->spec;
        auto entry = std::make_unique<schema::LedgerEntryT>();
        entry->job = spec.name;
        entry->index = task.key.task.index;
        entry->attempt = task.key.attempt.value();
        entry->state = task.cancelled ? TaskState::Cancelled : TaskState::Assigned;
        entry->end_reason = task.cancelled ? EndReason::Cancelled : EndReason::None;
        entry->team = spec.team;
        entry->class_name = spec.class_name;
        entry->kind = spec.kind;
        entry->cpu_millis = spec.cpu_millis;
        entry->memory_mb = spec.memory_mb;
        entry->accelerators = spec.accelerators;
        entry->work_ms = spec.work_ms;
        entry->checkpoint = task.checkpoint;
        return entry;
    }

    std::map<TaskId, Attempt> newestAttempts(const schema::ShardRecordT& record)
    {
        std::map<TaskId, Attempt> newest;
        for (const auto& entry : record.entries) {
            const auto key = keyOf(*entry);
            auto& attempt = newest[key.task];
            attempt = std::max(attempt, key.attempt);
        }
        return newest;
    }

    // Revision 0 is a view that was never read.
    bool isCurrent(const schema::ShardRecordT& record, Revision jobsRevision)
    {
        return jobsRevision != Revision() && jobsRevision >= Revision(record.jobs_revision_floor);
    }

    bool hasMovedPast(const schema::JobRecordT& job, const schema::LedgerEntryT& entry)
    {
        if (entry.index >= job.tasks.size())
            return false;
        const auto& task = *job.tasks[entry.index];
        return task.attempt > entry.attempt || (task.attempt == entry.attempt && task.state != TaskState::Assigned);
    }

    EndReason stopReason(const schema::LedgerEntryT& entry)
    {
        return entry.end_reason == EndReason::None ? EndReason::LeaseLapsed : entry.end_reason;
    }

} // namespace

unsigned applyOutcomes(schema::ShardRecordT& record, const Outcomes& outcomes)
{
    return changeEach(record, [&](schema::LedgerEntryT& entry) {
        const auto it = outcomes.find(keyOf(entry));
        if (it == outcomes.end() || !moveTo(entry, it->second.state, it->second.reason))
            return false;
        entry.checkpoint = std::max(entry.checkpoint, it->second.checkpoint);
        return true;
    });
}

unsigned takeInAssigned(schema::ShardRecordT& record, const std::vector<AssignedTask>& tasks, Revision jobsRevision)
{
    if (!isCurrent(record, jobsRevision))
        return 0;
    auto newest = newestAttempts(record);
    unsigned added = 0;
    for (const auto& task : tasks) {
        auto& known = newest[task.key.task];
        if (known >= task.key.attempt)
            continue;
        known = task.key.attempt;
        record.entries.push_back(makeEntry(task));
        // A job that is missing from a view of at least this revision was removed, rather than not seen yet.
        record.jobs_revision_floor = std::max(record.jobs_revision_floor, task.job.revision.value());
        ++added;
    }
    return added;
}

unsigned pruneEnded(schema::ShardRecordT& record, const JobLookup& findJob, Revision jobsRevision)
{
    if (!isCurrent(record, jobsRevision))
        return 0;
    auto floor = record.jobs_revision_floor;
    const auto isPast = [&](const EntryPointer& entry) {
        if (!isEnded(entry->state))
            return false;
        const auto job = findJob(JobName(entry->job));
        if (job.record && !hasMovedPast(*job.record, *entry))
            return false;
        // A job that is absent from a current view was removed after it was done.
        floor = std::max(floor, job.record ? job.revision.value() : jobsRevision.value());
        return true;
    };
    const auto removed = std::erase_if(record.entries, isPast);
    record.jobs_revision_floor = floor;
    return static_cast<unsigned>(removed);
}

unsigned applyCancellations(schema::ShardRecordT& record, const JobLookup& findJob)
{
    return changeEach(record, [&](schema::LedgerEntryT& entry) {
        if (isEnded(entry.state) || (entry.state == TaskState::Stopping && entry.end_reason == EndReason::Cancelled))
            return false;
        const auto job = findJob(JobName(entry.job));
        if (!job.record || !job.record->cancelled)
            return false;
        if (entry.state == TaskState::Stopping) {
            entry.end_reason = EndReason::Cancelled;
            return true;
        }
        return moveTo(entry, entry.state == TaskState::Assigned ? TaskState::Cancelled : TaskState::Stopping, EndReason::Cancelled);
    });
}

unsigned evictGoneWorkers(schema::ShardRecordT& record, const std::set<VmId>& gone, const std::map<AttemptKey, std::uint64_t>& checkpoints)
{
    if (gone.empty())
        return 0;
    return changeEach(record, [&](schema::LedgerEntryT& entry) {
        if (!holdsCapacity(entry.state) || !gone.contains(VmId(entry.worker)))
            return false;
        if (const auto it = checkpoints.find(keyOf(entry)); it != checkpoints.end())
            entry.checkpoint = std::max(entry.checkpoint, it->second);
        const bool isCancelled = entry.end_reason == EndReason::Cancelled;
        return moveTo(
            entry, isCancelled ? TaskState::Cancelled : TaskState::Evicted, isCancelled ? EndReason::Cancelled : EndReason::VmGone);
    });
}

unsigned returnUnplaced(schema::ShardRecordT& record, EndReason reason, const std::function<bool(const AttemptKey&)>& matches)
{
    return changeEach(record, [&](schema::LedgerEntryT& entry) {
        return entry.state == TaskState::Assigned && matches(keyOf(entry)) && moveTo(entry, TaskState::Evicted, reason);
    });
}

unsigned requestStops(
    schema::ShardRecordT& record, EndReason reason, unsigned budget, const std::function<bool(const schema::LedgerEntryT&)>& matches)
{
    unsigned stopped = 0;
    for (auto& entry : record.entries) {
        if (stopped >= budget)
            break;
        const bool isMovable = holdsCapacity(entry->state) && entry->state != TaskState::Stopping;
        if (isMovable && matches(*entry) && moveTo(*entry, TaskState::Stopping, reason))
            ++stopped;
    }
    return stopped;
}

unsigned placeAssigned(schema::ShardRecordT& record, const PlaceChooser& choose)
{
    std::vector<schema::LedgerEntryT*> waiting;
    for (const auto& entry : record.entries) {
        if (entry->state == TaskState::Assigned)
            waiting.push_back(entry.get());
    }
    std::stable_partition(waiting.begin(), waiting.end(), [](const auto* entry) { return entry->kind == JobKind::Standing; });
    unsigned placed = 0;
    for (auto* entry : waiting) {
        const auto vm = choose(*entry);
        if (!vm)
            continue;
        entry->worker = vm->value();
        entry->state = TaskState::Starting;
        ++placed;
    }
    return placed;
}

AttemptOutcome outcomeOfStop(const schema::LedgerEntryT& entry, std::uint64_t checkpoint)
{
    const auto reason = stopReason(entry);
    return { reason == EndReason::Cancelled ? TaskState::Cancelled : TaskState::Evicted, reason, checkpoint };
}

} // namespace kingcuploom::ledger
