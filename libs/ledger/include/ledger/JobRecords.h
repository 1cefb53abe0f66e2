#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "ledger/AttemptKey.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcuploom::ledger {

// A larger record would come near the store's value limit of 1 MB.
inline constexpr std::uint32_t maxTasksPerJob = 5000;

enum class JobErrorCode {
    // A field of the specification is missing or out of range.
    InvalidSpecification,
    // The name is taken by a job with another specification.
    DifferentSpecification,
    NoSuchJob,
    NoSuchTask,
    // Nothing was written.
    StoreUnavailable,
    // Not known whether it was written; repeat the call.
    OutcomeUnknown,
};

struct JobError {
    JobErrorCode code;
    // Field of the specification, when one is at fault.
    std::string field;
};

const char* toString(JobErrorCode);

// A job record as read from the store.
struct JobEntry {
    std::shared_ptr<const schema::JobRecordT> record;
    Revision revision;
};

// Job by name; an entry without a record means that there is none.
using JobLookup = std::function<JobEntry(const JobName&)>;

// Ledger entry of an attempt in a shard, null when the shard's ledger has none.
using LedgerLookup = std::function<const schema::LedgerEntryT*(const ShardId&, const AttemptKey&)>;

Expected<void, JobError> checkSpec(const schema::JobSpecT&);
schema::JobRecordT makeJobRecord(const schema::JobSpecT&, const std::string& actor);
bool isSameSpec(const schema::JobSpecT&, const schema::JobSpecT&);

// Marks the job as cancelled. False when that changes nothing.
bool cancel(schema::JobRecordT&);

// Ended attempts that the coordinator has not recorded yet move from the shard ledgers to the job record.
struct TakenEnd {
    AttemptKey key;
    schema::TaskState state;
    schema::EndReason reason;
};
std::vector<TakenEnd> takeOverEnds(schema::JobRecordT&, const LedgerLookup&, std::int64_t wallMs);

// Cancels the tasks of a cancelled job that no shard holds. True when the record changed.
bool cancelUnassigned(schema::JobRecordT&);

// Sets "done" once every task has its final state. True when the record changed.
bool updateDone(schema::JobRecordT&);

} // namespace kingcuploom::ledger
