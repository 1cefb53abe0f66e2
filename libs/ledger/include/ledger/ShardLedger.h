#pragma once

#include "ledger/JobRecords.h"

#include <set>

namespace kingcuploom::ledger {

// Steps of one group commit. Each changes a copy of the shard record that is then written with one compare-and-swap, and returns
// how many entries it changed.

// A task of a job that its coordinator assigned to the shard.
struct AssignedTask {
    AttemptKey key;
    std::uint64_t checkpoint = 0;
    bool cancelled = false;
    // Record that assigns the task.
    JobEntry job;
};

// What became of an attempt, from its worker or from the rules on lost workers.
struct AttemptOutcome {
    schema::TaskState state = schema::TaskState::Running;
    schema::EndReason reason = schema::EndReason::None;
    std::uint64_t checkpoint = 0;
};
using Outcomes = std::map<AttemptKey, AttemptOutcome>;

// Records outcomes whose transition is allowed; others (an end already recorded) change nothing.
unsigned applyOutcomes(schema::ShardRecordT&, const Outcomes&);

// Adds assigned attempts that the ledger has not seen, and raises the floor to the revisions of their jobs. Refused while the view
// of the jobs is older than the floor, because it may show an attempt as assigned whose end was already pruned.
unsigned takeInAssigned(schema::ShardRecordT&, const std::vector<AssignedTask>&, Revision jobsRevision);

// Removes ended entries that the job record has moved past and raises the floor to that record's revision.
unsigned pruneEnded(schema::ShardRecordT&, const JobLookup&, Revision jobsRevision);

// Entries of cancelled jobs: those without a worker end, the others are stopped.
unsigned applyCancellations(schema::ShardRecordT&, const JobLookup&);

// Ends all entries on workers whose VM is gone, with the newest known checkpoints.
unsigned evictGoneWorkers(schema::ShardRecordT&, const std::set<VmId>& gone, const std::map<AttemptKey, std::uint64_t>& checkpoints);

// Entries that wait for a place and match end as evicted, so that the coordinator assigns them elsewhere.
unsigned returnUnplaced(schema::ShardRecordT&, schema::EndReason, const std::function<bool(const AttemptKey&)>& matches);

// Stops up to "budget" starting or running entries that match.
unsigned requestStops(
    schema::ShardRecordT&, schema::EndReason, unsigned budget, const std::function<bool(const schema::LedgerEntryT&)>& matches);

// Places waiting entries, standing tasks first. The chooser returns nothing when there is no place.
using PlaceChooser = std::function<std::optional<VmId>(const schema::LedgerEntryT&)>;
unsigned placeAssigned(schema::ShardRecordT&, const PlaceChooser&);

// State that an attempt has once its worker confirmed the stop.
AttemptOutcome outcomeOfStop(const schema::LedgerEntryT&, std::uint64_t checkpoint);

} // namespace kingcuploom::ledger
