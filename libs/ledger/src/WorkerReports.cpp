#include "ledger/WorkerReports.h"

#include "ledger/TaskStates.h"

#include <algorithm>

namespace kingcuploom::ledger {

using schema::EndReason;
using schema::TaskState;

namespace {

    AttemptOutcome outcomeOf(const TaskReport& report, const schema::LedgerEntryT& entry)
    {
        switch (report.state) {
        case ReportedState::Finished:
            return { TaskState::Finished, EndReason::WorkFinished, report.checkpoint };
        case ReportedState::Failed:
            return { TaskState::Failed, EndReason::WorkFailed, report.checkpoint };
        case ReportedState::Stopped:
        case ReportedState::Lapsed:
            return outcomeOfStop(entry, report.checkpoint);
        case ReportedState::Running:
            break;
        }
        return { TaskState::Running, EndReason::None, report.checkpoint };
    }

    bool isFinishRecorded(const AttemptKey& key, const JobLookup& findJob)
    {
        const auto job = findJob(key.task.job);
        if (!job.record || key.task.index >= job.record->tasks.size())
            return false;
        const auto& task = *job.record->tasks[key.task.index];
        return task.attempt == key.attempt.value() && task.state == TaskState::Finished;
    }

    void judgeUnknown(const TaskReport& report, const JobLookup& findJob, ReportFindings& findings)
    {
        if (report.state == ReportedState::Running) {
            findings.orphans.insert(report.key);
            return;
        }
        findings.acknowledge.insert(report.key);
        if (report.state == ReportedState::Finished && !isFinishRecorded(report.key, findJob))
            findings.lateFinishes.push_back(report.key);
    }

    void judgeEnded(const TaskReport& report, const schema::LedgerEntryT& entry, ReportFindings& findings)
    {
        if (report.state == ReportedState::Running) {
            findings.orphans.insert(report.key);
            return;
        }
        findings.acknowledge.insert(report.key);
        if (report.state == ReportedState::Finished && entry.state != TaskState::Finished)
            findings.lateFinishes.push_back(report.key);
    }

    void judgeLive(const TaskReport& report, const schema::LedgerEntryT& entry, ReportFindings& findings)
    {
        if (report.state != ReportedState::Running) {
            findings.outcomes[report.key] = outcomeOf(report, entry);
            return;
        }
        findings.checkpoints[report.key] = report.checkpoint;
        if (entry.state == TaskState::Starting)
            findings.outcomes[report.key] = outcomeOf(report, entry);
    }

    // A start that the worker accepted and no longer lists was lost with a restart of the worker. A start that was not accepted
    // may still arrive, so its entry is sent again to the same worker instead.
    bool isLost(const schema::LedgerEntryT& entry, const ConfirmedCalls& calls)
    {
        if (entry.state == TaskState::Starting)
            return calls.starts.contains(keyOf(entry));
        if (entry.state == TaskState::Stopping)
            return calls.stops.contains(keyOf(entry));
        return entry.state == TaskState::Running || entry.state == TaskState::Checkpointing;
    }

    AttemptOutcome outcomeOfLoss(const schema::LedgerEntryT& entry)
    {
        if (entry.state == TaskState::Stopping)
            return outcomeOfStop(entry, entry.checkpoint);
        return { TaskState::Evicted, EndReason::WorkerRestarted, entry.checkpoint };
    }

} // namespace

ReportFindings judgeReports(const schema::ShardRecordT& record, const VmId& worker, const std::vector<TaskReport>& reports,
    const ConfirmedCalls& calls, const JobLookup& findJob)
{
    ReportFindings findings;
    std::set<AttemptKey> reported;
    for (const auto& report : reports) {
        reported.insert(report.key);
        const auto* entry = findEntry(record, report.key);
        if (!entry || entry->worker != worker.value())
            judgeUnknown(report, findJob, findings);
        else if (isEnded(entry->state))
            judgeEnded(report, *entry, findings);
        else
            judgeLive(report, *entry, findings);
    }
    for (const auto& entry : record.entries) {
        const bool isMissing = entry->worker == worker.value() && !reported.contains(keyOf(*entry));
        if (isMissing && isLost(*entry, calls))
            findings.outcomes[keyOf(*entry)] = outcomeOfLoss(*entry);
    }
    return findings;
}

void noteOutcome(Outcomes& outcomes, const AttemptKey& key, const AttemptOutcome& outcome)
{
    const auto it = outcomes.find(key);
    const bool isKept = it != outcomes.end() && isEnded(it->second.state);
    const bool isWorkersEnd = outcome.state == TaskState::Finished || outcome.state == TaskState::Failed;
    if (isKept && (it->second.reason != EndReason::LeaseLapsed || !isWorkersEnd))
        return;
    outcomes[key] = outcome;
}

std::optional<MonotonicTime> leasesExpireAt(
    const WorkerContact& contact, bool isPredecessorReleased, MonotonicTime releasedAt, const LeaseTimes& times)
{
    if (!isPredecessorReleased)
        return std::nullopt;
    const auto renewedAt = std::max(contact.mayHaveRenewedAt.value_or(releasedAt), releasedAt);
    return renewedAt + times.lease + times.margin;
}

bool shouldRenew(const WorkerContact& contact, MonotonicTime ownedSince, MonotonicTime now, const LeaseTimes& times)
{
    return now - contact.lastAnswerAt.value_or(ownedSince) < times.lease / 2;
}

Outcomes giveUpWorker(const schema::ShardRecordT& record, const VmId& worker, const std::map<AttemptKey, std::uint64_t>& checkpoints)
{
    Outcomes outcomes;
    for (const auto& entry : record.entries) {
        if (entry->worker != worker.value() || !holdsCapacity(entry->state))
            continue;
        const auto key = keyOf(*entry);
        const auto it = checkpoints.find(key);
        outcomes[key] = outcomeOfStop(*entry, it == checkpoints.end() ? entry->checkpoint : it->second);
    }
    return outcomes;
}

std::vector<AttemptKey> startingOn(const schema::ShardRecordT& record, const VmId& worker)
{
    std::vector<AttemptKey> keys;
    for (const auto& entry : record.entries) {
        if (entry->state == TaskState::Starting && entry->worker == worker.value())
            keys.push_back(keyOf(*entry));
    }
    return keys;
}

} // namespace kingcuploom::ledger
