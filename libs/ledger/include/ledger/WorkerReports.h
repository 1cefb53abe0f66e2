#pragma once

#include "base/Clock.h"
#include "ledger/ShardLedger.h"

namespace kingcuploom::ledger {

enum class ReportedState {
    Running,
    Finished,
    Failed,
    Stopped,
    // The worker stopped the task because its lease expired.
    Lapsed,
};

struct TaskReport {
    AttemptKey key;
    ReportedState state = ReportedState::Running;
    std::uint64_t checkpoint = 0;
};

// What the reports of one worker mean for the ledger.
struct ReportFindings {
    Outcomes outcomes;
    // Newest checkpoints of running attempts.
    std::map<AttemptKey, std::uint64_t> checkpoints;
    // Ends that the committed ledger holds already, or that it has no use for.
    std::set<AttemptKey> acknowledge;
    // Attempts that run although the ledger has ended them or does not know them.
    std::set<AttemptKey> orphans;
    // Finishes of attempts that the task has moved past.
    std::vector<AttemptKey> lateFinishes;
};

// What the owner knows of its calls to one worker.
struct ConfirmedCalls {
    // Starts that the worker accepted before the sync was sent.
    std::set<AttemptKey> starts;
    // Stops that the worker confirmed before the sync was sent: a start that is still under way is rejected from then on.
    std::set<AttemptKey> stops;
};

// "record" is the committed ledger.
ReportFindings judgeReports(
    const schema::ShardRecordT& record, const VmId& worker, const std::vector<TaskReport>&, const ConfirmedCalls&, const JobLookup&);

// Adds an outcome. The first end of an attempt stays, except that a worker's finish or failure replaces a lease taken as lapsed.
void noteOutcome(Outcomes&, const AttemptKey&, const AttemptOutcome&);

// Contact with one worker, in the memory of the shard's owner.
struct WorkerContact {
    // End of the last call that may have renewed or started a lease, with the time limit of a start added.
    std::optional<MonotonicTime> mayHaveRenewedAt;
    std::optional<MonotonicTime> lastAnswerAt;
    unsigned failedCalls = 0;
};

struct LeaseTimes {
    Milliseconds lease;
    Milliseconds margin;
};

// When the leases of all tasks on a silent worker have expired; nothing while the predecessor may still renew them.
std::optional<MonotonicTime> leasesExpireAt(const WorkerContact&, bool isPredecessorReleased, MonotonicTime releasedAt, const LeaseTimes&);

// A worker that has been silent for half of the lease gets no renewals until it answers, so that its leases expire at a known time.
bool shouldRenew(const WorkerContact&, MonotonicTime ownedSince, MonotonicTime now, const LeaseTimes&);

std::vector<AttemptKey> startingOn(const schema::ShardRecordT&, const VmId& worker);

// Ends of all entries on a worker whose leases have expired.
Outcomes giveUpWorker(const schema::ShardRecordT&, const VmId& worker, const std::map<AttemptKey, std::uint64_t>& checkpoints);

} // namespace kingcuploom::ledger
