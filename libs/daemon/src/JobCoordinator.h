#pragma once

#include "CapacityTable.h"
#include "LedgerIndex.h"
#include "TaskContext.h"
#include "placement/FairShare.h"

namespace kingcuploom {

// Coordinator side: advances the jobs whose rendezvous owner is this daemon. One pass at a time.
class JobCoordinator {
public:
    JobCoordinator(const TaskContext&, const CapacityTable&);

    // Takes over ends from the shard ledgers and assigns tasks to shards. Writes a bounded number of job records.
    void pass();

private:
    std::vector<DaemonId> stayingMembers() const;
    std::vector<JobName> ownJobs() const;
    void removeExpired();
    std::vector<ledger::ShardCapacity> freeCapacities() const;
    void sortByShare(std::vector<JobName>&, const placement::TeamShares&) const;
    bool advance(schema::JobRecordT&, std::vector<ledger::ShardCapacity>&, placement::TeamShares&);
    void auditTaskFaults(const JobName&) const;
    bool needsAdvance(const schema::JobRecordT&) const;
    bool isDone(const JobName&) const;
    bool fitsFleet(const ResourceAmounts&) const;
    bool hasFailedThroughout(const ShardId&, const schema::JobTaskT&) const;
    bool fitsShard(const ShardId&, const ResourceAmounts&) const;

    TaskContext m_context;
    const CapacityTable& m_capacities;
    LedgerIndex m_index;
    ledger::RetryTimes m_retryTimes;
    // Ends that the last change of a job record took over.
    std::vector<ledger::TakenEnd> m_taken;
    // The next pass begins here, so that a bounded pass reaches all jobs in turn.
    JobName m_next;
    std::optional<MonotonicTime> m_nextRemoval;
};

} // namespace kingcuploom
