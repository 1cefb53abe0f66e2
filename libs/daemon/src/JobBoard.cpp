#include "JobBoard.h"

#include "schema/RecordCodec.h"

#include <algorithm>

namespace kingcuploom {

using ledger::JobEntry;
using ledger::JobError;
using ledger::JobErrorCode;
using schema::TaskState;

namespace {

    constexpr unsigned maxCancelTries = 5;

    JobEntry decodeJob(const std::string& value, Revision revision)
    {
        auto record = schema::decode<schema::JobRecordT>(value);
        if (!record || !record->spec)
            return {};
        return { std::make_shared<const schema::JobRecordT>(std::move(*record)), revision };
    }

    std::set<ShardId> shardsOf(const schema::JobRecordT& record)
    {
        std::set<ShardId> shards;
        for (const auto& task : record.tasks) {
            if (task->state == TaskState::Assigned)
                shards.insert(ShardId(task->shard));
        }
        return shards;
    }

    void appendAssigned(std::vector<ledger::AssignedTask>& tasks, const ShardId& shard, const JobEntry& job)
    {
        for (std::uint32_t index = 0; index < job.record->tasks.size(); ++index) {
            const auto& task = *job.record->tasks[index];
            if (task.state != TaskState::Assigned || task.shard != shard.value())
                continue;
            const ledger::AttemptKey key { { JobName(job.record->spec->name), index }, Attempt(task.attempt) };
            tasks.push_back({ key, task.checkpoint, job.record->cancelled, job });
        }
    }

} // namespace

JobBoard::JobBoard(store::Store& store, const Clock& clock, StoreBackoff& backoff, std::uint64_t seed)
    : m_store(store)
    , m_clock(clock)
    , m_backoff(backoff)
    , m_random(seed)
{
}

std::string JobBoard::keyOf(const JobName& name) { return prefix + name.value(); }

std::uint64_t JobBoard::nextWriteId()
{
    const std::scoped_lock lock(m_mutex);
    return m_random.next();
}

void JobBoard::removeLocked(const JobName& name, Revision revision)
{
    const auto it = m_jobs.find(name);
    if (it == m_jobs.end() || it->second.revision > revision)
        return;
    for (const auto& shard : shardsOf(*it->second.record))
        m_jobsOfShard[shard].erase(name);
    m_active.erase(name);
    m_jobs.erase(it);
    ++m_version;
}

void JobBoard::keepLocked(const JobName& name, JobEntry entry)
{
    const auto it = m_jobs.find(name);
    if (it != m_jobs.end() && it->second.revision >= entry.revision)
        return;
    removeLocked(name, entry.revision);
    for (const auto& shard : shardsOf(*entry.record))
        m_jobsOfShard[shard].insert(name);
    if (!entry.record->done)
        m_active.insert(name);
    m_jobs[name] = std::move(entry);
    ++m_version;
}

void JobBoard::keep(const JobName& name, JobEntry entry)
{
    const std::scoped_lock lock(m_mutex);
    keepLocked(name, std::move(entry));
}

void JobBoard::keepFound(const store::KeyValue& found)
{
    auto entry = decodeJob(found.value, found.modRevision);
    if (entry.record)
        keep(JobName(found.key.substr(sizeof(prefix) - 1)), std::move(entry));
}

Expected<void, store::StoreError> JobBoard::reload()
{
    const auto listing = m_store.list(prefix);
    if (!listing)
        return makeUnexpected(listing.error());
    std::set<JobName> listed;
    for (const auto& found : listing->entries) {
        listed.insert(JobName(found.key.substr(sizeof(prefix) - 1)));
        keepFound(found);
    }
    const std::scoped_lock lock(m_mutex);
    std::vector<JobName> missing;
    for (const auto& [name, job] : m_jobs) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    std::ranges::for_each(missing, [&](const JobName& name) { removeLocked(name, listing->storeRevision); });
    m_revision = std::max(m_revision, listing->storeRevision);
    return {};
}

Expected<void, store::StoreError> JobBoard::catchUp()
{
    const auto listing = m_store.list(prefix, revision());
    if (!listing)
        return makeUnexpected(listing.error());
    std::ranges::for_each(listing->entries, [this](const store::KeyValue& found) { keepFound(found); });
    const std::scoped_lock lock(m_mutex);
    m_revision = std::max(m_revision, listing->storeRevision);
    return {};
}

void JobBoard::observe(const std::vector<store::WatchEvent>& events)
{
    for (const auto& event : events) {
        if (event.value)
            keepFound({ event.key, *event.value, event.revision });
        const std::scoped_lock lock(m_mutex);
        if (!event.value)
            removeLocked(JobName(event.key.substr(sizeof(prefix) - 1)), event.revision);
    }
    if (events.empty())
        return;
    const std::scoped_lock lock(m_mutex);
    m_revision = std::max(m_revision, events.back().revision);
}

Expected<std::optional<store::KeyValue>, store::StoreError> JobBoard::reread(const JobName& name)
{
    auto found = m_store.get(keyOf(name));
    if (!found)
        return makeUnexpected(found.error());
    if (*found)
        keepFound(**found);
    const std::scoped_lock lock(m_mutex);
    m_uncertain.erase(name);
    return found;
}

JobBoard::WriteResult JobBoard::write(const JobName& name, Revision expected, const std::shared_ptr<schema::JobRecordT>& record)
{
    record->write_id = nextWriteId();
    const auto result = m_store.compareAndSwap(keyOf(name), expected, schema::encode(*record));
    if (result) {
        m_backoff.succeeded();
        keep(name, { record, *result });
        return WriteResult::Written;
    }
    const auto& error = result.error();
    if (error.code == store::StoreErrorCode::Conflict) {
        m_backoff.succeeded();
        if (error.current)
            keepFound(*error.current);
        return WriteResult::NotWritten;
    }
    if (!isOutage(error.code))
        return WriteResult::NotWritten;
    if (error.code == store::StoreErrorCode::Unavailable) {
        m_backoff.failed(m_clock.now());
        return WriteResult::StoreUnavailable;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_uncertain.insert(name);
    }
    const auto found = reread(name);
    if (!found) {
        m_backoff.failed(m_clock.now());
        return WriteResult::OutcomeUnknown;
    }
    m_backoff.succeeded();
    const auto stored = *found ? decodeJob((*found)->value, (*found)->modRevision) : JobEntry();
    if (stored.record && stored.record->write_id == record->write_id)
        return WriteResult::Written;
    // A write that has not arrived yet may still do so while the key keeps its revision.
    const bool mayStillArrive = (*found ? (*found)->modRevision : Revision()) == expected;
    return mayStillArrive ? WriteResult::OutcomeUnknown : WriteResult::NotWritten;
}

Expected<SubmitOutcome, JobError> JobBoard::submit(const schema::JobSpecT& spec, const std::string& actor)
{
    if (const auto checked = ledger::checkSpec(spec); !checked)
        return makeUnexpected(checked.error());
    const JobName name(spec.name);
    const auto compare = [&](const JobEntry& known) -> Expected<SubmitOutcome, JobError> {
        if (!ledger::isSameSpec(*known.record->spec, spec))
            return makeUnexpected(JobError { JobErrorCode::DifferentSpecification, "" });
        return SubmitOutcome::Repeated;
    };
    if (const auto known = find(name); known.record)
        return compare(known);
    if (!m_backoff.mayCall(m_clock.now()))
        return makeUnexpected(JobError { JobErrorCode::StoreUnavailable, "" });
    switch (write(name, Revision(), std::make_shared<schema::JobRecordT>(ledger::makeJobRecord(spec, actor)))) {
    case WriteResult::Written:
        return SubmitOutcome::Accepted;
    case WriteResult::StoreUnavailable:
        return makeUnexpected(JobError { JobErrorCode::StoreUnavailable, "" });
    case WriteResult::OutcomeUnknown:
        return makeUnexpected(JobError { JobErrorCode::OutcomeUnknown, "" });
    case WriteResult::NotWritten:
        break;
    }
    if (const auto known = find(name); known.record)
        return compare(known);
    return makeUnexpected(JobError { JobErrorCode::InvalidSpecification, "task_count" });
}

Expected<CancelOutcome, JobError> JobBoard::cancel(const JobName& name)
{
    // A job that another daemon accepted a moment ago may be missing here.
    if (!find(name).record && !reread(name))
        return makeUnexpected(JobError { JobErrorCode::StoreUnavailable, "" });
    for (unsigned tries = 0; tries < maxCancelTries; ++tries) {
        const auto known = find(name);
        if (!known.record)
            return makeUnexpected(JobError { JobErrorCode::NoSuchJob, "" });
        if (known.record->cancelled || known.record->done)
            return CancelOutcome::NoChange;
        switch (update(name, [](schema::JobRecordT& record) { return ledger::cancel(record); })) {
        case WriteResult::Written:
            return CancelOutcome::Accepted;
        case WriteResult::StoreUnavailable:
            return makeUnexpected(JobError { JobErrorCode::StoreUnavailable, "" });
        case WriteResult::OutcomeUnknown:
            return makeUnexpected(JobError { JobErrorCode::OutcomeUnknown, "" });
        case WriteResult::NotWritten:
            break;
        }
    }
    return makeUnexpected(JobError { JobErrorCode::StoreUnavailable, "" });
}

JobBoard::WriteResult JobBoard::update(const JobName& name, const Change& change)
{
    if (m_backoff.isHeldBack(m_clock.now()))
        return WriteResult::StoreUnavailable;
    bool isUncertain = false;
    {
        const std::scoped_lock lock(m_mutex);
        isUncertain = m_uncertain.contains(name);
    }
    if (isUncertain && !reread(name)) {
        m_backoff.failed(m_clock.now());
        return WriteResult::StoreUnavailable;
    }
    const auto current = find(name);
    if (!current.record)
        return WriteResult::NotWritten;
    auto changed = std::make_shared<schema::JobRecordT>(*current.record);
    if (!change(*changed))
        return WriteResult::NotWritten;
    if (!m_backoff.mayCall(m_clock.now()))
        return WriteResult::StoreUnavailable;
    return write(name, current.revision, changed);
}

bool JobBoard::remove(const JobName& name)
{
    const auto current = find(name);
    if (!current.record || !m_backoff.mayCall(m_clock.now()))
        return false;
    const auto result = m_store.compareAndDelete(keyOf(name), current.revision);
    if (!result) {
        // A lost answer shows in the watch; a conflict means that the record is not the one that expired.
        if (isOutage(result.error().code))
            m_backoff.failed(m_clock.now());
        return false;
    }
    m_backoff.succeeded();
    const std::scoped_lock lock(m_mutex);
    removeLocked(name, current.revision);
    return true;
}

JobEntry JobBoard::find(const JobName& name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_jobs.find(name);
    return it == m_jobs.end() ? JobEntry() : it->second;
}

std::map<JobName, JobEntry> JobBoard::all() const
{
    const std::scoped_lock lock(m_mutex);
    return m_jobs;
}

std::vector<JobName> JobBoard::activeJobs() const
{
    const std::scoped_lock lock(m_mutex);
    return { m_active.begin(), m_active.end() };
}

std::vector<ledger::AssignedTask> JobBoard::assignedTo(const ShardId& shard) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ledger::AssignedTask> tasks;
    const auto it = m_jobsOfShard.find(shard);
    if (it == m_jobsOfShard.end())
        return tasks;
    std::ranges::for_each(it->second, [&](const JobName& name) { appendAssigned(tasks, shard, m_jobs.at(name)); });
    return tasks;
}

Revision JobBoard::revision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_revision;
}

std::uint64_t JobBoard::version() const
{
    const std::scoped_lock lock(m_mutex);
    return m_version;
}

} // namespace kingcuploom
