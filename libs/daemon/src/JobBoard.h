#pragma once

#include "StoreBackoff.h"
#include "base/Random.h"
#include "daemon/TaskService.h"
#include "ledger/ShardLedger.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace kingcuploom {

// This daemon's view of all job records, and the writes to them. Thread-safe; no lock is held across a store call.
class JobBoard {
public:
    using Change = std::function<bool(schema::JobRecordT&)>;

    enum class WriteResult {
        Written,
        // The change declined or the record had moved on; the view holds the current record.
        NotWritten,
        StoreUnavailable,
        OutcomeUnknown,
    };

    JobBoard(store::Store&, const Clock&, StoreBackoff&, std::uint64_t seed);

    // Reads all records; jobs missing from the answer leave the view.
    Expected<void, store::StoreError> reload();

    // Reads what changed since the last read or event, to find what a stalled watch missed.
    Expected<void, store::StoreError> catchUp();

    void observe(const std::vector<store::WatchEvent>&);

    Expected<SubmitOutcome, ledger::JobError> submit(const schema::JobSpecT&, const std::string& actor);
    Expected<CancelOutcome, ledger::JobError> cancel(const JobName&);

    // One compare-and-swap of a changed copy of the record in the view.
    WriteResult update(const JobName&, const Change&);

    // Deletes the record as it is known here. False when it was not deleted or that is not known.
    bool remove(const JobName&);

    ledger::JobEntry find(const JobName&) const;
    std::map<JobName, ledger::JobEntry> all() const;

    // Jobs that are not done.
    std::vector<JobName> activeJobs() const;

    // Tasks that the job records assign to the shard.
    std::vector<ledger::AssignedTask> assignedTo(const ShardId&) const;

    // Every change of a job up to this store revision is in the view. 0 before the first read.
    Revision revision() const;

    // Counts the changes of the view.
    std::uint64_t version() const;

    static std::string keyOf(const JobName&);
    static constexpr char prefix[] = "/kingcuploom/jobs/";

private:
    void keep(const JobName&, ledger::JobEntry);
    void keepLocked(const JobName&, ledger::JobEntry);
    void removeLocked(const JobName&, Revision);
    void keepFound(const store::KeyValue&);
    Expected<std::optional<store::KeyValue>, store::StoreError> reread(const JobName&);
    WriteResult write(const JobName&, Revision expected, const std::shared_ptr<schema::JobRecordT>&);
    std::uint64_t nextWriteId();

    store::Store& m_store;
    const Clock& m_clock;
    StoreBackoff& m_backoff;
    mutable std::mutex m_mutex;
    Random m_random;
    std::map<JobName, ledger::JobEntry> m_jobs;
    std::set<JobName> m_active;
    std::map<ShardId, std::set<JobName>> m_jobsOfShard;
    // Jobs whose last write had an unknown outcome; re-read before the next write.
    std::set<JobName> m_uncertain;
    Revision m_revision;
    std::uint64_t m_version = 0;
};

} // namespace kingcuploom
