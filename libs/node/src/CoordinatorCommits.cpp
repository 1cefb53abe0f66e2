#include "node/Coordinator.h"

#include "base/Log.h"
#include "scheduler/Fences.h"
#include "scheduler/JobRecords.h"
#include "scheduler/Occurrences.h"

#include <algorithm>

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    // Delay of non-urgent commits, so that changes within it share a transaction.
    constexpr Milliseconds commitBatchDelay { 60 };
    constexpr Milliseconds commitRetryDelay { 60 };
    // A record that is too large shrinks only with the ends of tasks.
    constexpr Milliseconds oversizedRetryDelay { 1000 };
    // Concurrent commits always concern different jobs.
    constexpr unsigned maxCommitsInFlight = 4;
    // Each job takes a condition and a write, and two removals once it has finished.
    constexpr std::size_t entriesPerJob = 2;
    constexpr std::size_t removalsPerEndedJob = 2;
    constexpr std::size_t maxExpiredPerPass = 12;

    bool isFinished(const scheduler::Job& job) { return scheduler::hasEnded(job) && scheduler::countRuns(job) == 0; }

} // namespace

void Coordinator::commitDirtyJobs()
{
    while (m_commitsInFlight < maxCommitsInFlight && m_clock.now() >= m_commitNotBefore && commitBatch()) { }
}

// Commits as many changed jobs as fit in one transaction. Returns false if no job was due.
bool Coordinator::commitBatch()
{
    const auto now = m_clock.now();
    std::vector<std::pair<GraphJobId, scheduler::ProgressVersion>> jobs;
    Transaction transaction;
    transaction.conditions.push_back({ Leadership::termKey, m_state.term });
    std::size_t entries = 1;
    const bool isAnyDue = std::ranges::any_of(m_state.dirty, [&](const GraphJobId& id) {
        const auto& job = m_state.jobs.at(id);
        return !job.isCommitInFlight && scheduler::isCommitDue(job, now, commitBatchDelay);
    });
    if (!isAnyDue)
        return false;
    // Jobs that are due go first; other changed jobs fill the rest of the transaction.
    for (const auto& id : scheduler::orderCommits(m_state, now, commitBatchDelay)) {
        auto& job = m_state.jobs.at(id);
        const auto needed = entriesPerJob + (isFinished(job) ? removalsPerEndedJob : 0);
        if (entries + needed > AsyncStore::maxTransactionEntries)
            continue;
        auto record = encodeStorable(job, now);
        if (!record)
            continue;
        entries += needed;
        transaction.conditions.push_back({ runKey(job.id), job.recordRevision });
        transaction.writes.push_back({ runKey(job.id), std::move(*record), {} });
        if (isFinished(job)) {
            transaction.removals.push_back(jobKey(job.id));
            transaction.removals.push_back(cancelKey(job.id));
        }
        job.isCommitInFlight = true;
        job.isUrgent = false;
        jobs.emplace_back(job.id, job.version);
        m_state.dirty.erase(id);
    }
    if (jobs.empty())
        return false;
    ++m_commitsInFlight;
    m_store.commit(transaction, [self = shared_from_this(), jobs = std::move(jobs), sentAt = now](const auto& result) {
        if (!self->m_isStopped)
            self->onCommitResult(jobs, sentAt, result);
    });
    return true;
}

// Returns the record of the job's progress, or nothing if it is larger than the store takes. The store would refuse it together with the
// records of all other jobs in the transaction.
std::optional<std::string> Coordinator::encodeStorable(scheduler::Job& job, MonotonicTime now)
{
    scheduler::dropDoneOccurrences(job);
    auto record = encodeProgress(scheduler::makeProgressRecord(m_state, job));
    if (record.size() <= m_state.parameters.maxRecordBytes)
        return record;
    job.commitNotBefore = now + oversizedRetryDelay;
    m_metrics.observeCommit("too_large", Milliseconds(0));
    logEvent(LogLevel::Error, "record_too_large",
        { { "job", job.id }, { "bytes", record.size() }, { "limit_bytes", m_state.parameters.maxRecordBytes }, { "term", m_state.term } });
    return std::nullopt;
}

void Coordinator::onCommitResult(const std::vector<std::pair<GraphJobId, scheduler::ProgressVersion>>& jobs, MonotonicTime sentAt,
    const Expected<Revision, TransactionFailure>& result)
{
    --m_commitsInFlight;
    const auto now = m_clock.now();
    if (result) {
        m_leadership.confirm(sentAt);
        m_metrics.observeCommit("done", std::chrono::duration_cast<Milliseconds>(now - sentAt));
        for (const auto& [id, version] : jobs) {
            scheduler::onCommitted(m_state, id, version, *result);
            reportJobEnd(*scheduler::findJob(m_state, id));
        }
        return requestSchedulingPass();
    }
    m_metrics.observeCommit(toString(result.error().error), std::chrono::duration_cast<Milliseconds>(now - sentAt));
    logEvent(LogLevel::Warning, "commit_failed",
        { { "reason", toString(result.error().error) }, { "jobs", jobs.size() },
            { "took_ms", std::chrono::duration_cast<Milliseconds>(now - sentAt).count() } });
    for (const auto& [id, version] : jobs) {
        auto* job = scheduler::findJob(m_state, id);
        job->isCommitInFlight = false;
        job->isUrgent = true;
        m_state.dirty.insert(id);
    }
    if (result.error().error == StoreError::Conflict)
        return onConflict(jobs, result.error().current);
    m_commitNotBefore = now + commitRetryDelay;
}

void Coordinator::commitFence()
{
    if (m_state.workersAwaitingFence.empty() || m_commitsInFlight > 0 || m_clock.now() < m_fenceNotBefore)
        return;
    m_fenceNotBefore = m_clock.now() + commitRetryDelay;
    m_fenceRecord->write("fence", {},
        [weak = weak_from_this(), count = m_state.workersAwaitingFence.size()](const Expected<Revision, TransactionFailure>& result) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            logEvent(LogLevel::Info, "fence_committed",
                { { "workers", count }, { "revision", result.value_or(Revision()) },
                    { "reason", result ? "done" : toString(result.error().error) }, { "term", self->m_state.term } });
            if (result)
                scheduler::onTermCommit(self->m_state, *result);
            self->requestSchedulingPass();
        });
}

// A conflict means that another node leads, or that an earlier commit of these jobs took effect and its response was lost.
void Coordinator::onConflict(
    const std::vector<std::pair<GraphJobId, scheduler::ProgressVersion>>& jobs, const std::vector<StoreItem>& current)
{
    const auto revisionOf = [&](const std::string& key) {
        const auto it = std::ranges::find(current, key, &StoreItem::key);
        return it == current.end() ? Revision() : it->revision;
    };
    if (revisionOf(Leadership::termKey) != m_state.term)
        return m_leadership.stepDown();
    for (const auto& [id, version] : jobs)
        scheduler::findJob(m_state, id)->recordRevision = revisionOf(runKey(id));
    requestSchedulingPass();
}

void Coordinator::removeExpiredJobs()
{
    const auto expired = scheduler::expiredJobs(m_state, m_clock.now(), maxExpiredPerPass);
    if (expired.empty())
        return;
    Transaction transaction;
    transaction.conditions.push_back({ Leadership::termKey, m_state.term });
    for (const auto& id : expired) {
        const auto& job = m_state.jobs.at(id);
        // A removal that is carried out late must not take the record of a new job with the same id.
        transaction.conditions.push_back({ runKey(id), job.recordRevision });
        transaction.removals.push_back(runKey(id));
        logEvent(LogLevel::Info, "job_forgotten", { { "job", id }, { "ended_at_ms", job.endedWallMs }, { "term", m_state.term } });
        m_state.jobs.erase(id);
    }
    m_store.commit(transaction, [](const auto& result) {
        if (!result)
            logEvent(LogLevel::Warning, "removal_of_expired_jobs_failed", { { "reason", toString(result.error().error) } });
    });
}

} // namespace kingcuploom::node
