#pragma once

#include "TaskContext.h"
#include "WorkerControl.h"

namespace kingcuploom {

// Calls to the workers of owned shards. Thread-safe; at most one visit per worker at a time.
class WorkerVisitor {
public:
    explicit WorkerVisitor(const TaskContext&);

    // Workers of the shard that a visit is due for. Marks them as visited; visit() or dropVisit() must follow for each.
    std::vector<VmId> takeDueVisits(const ShardId&);
    void dropVisit(const ShardId&, const VmId&);

    // Stops what is to stop, syncs, then sends the committed starts that pass the start gate.
    void visit(const ShardId&, const VmId&);

private:
    struct Visit;

    void endVisit(const ShardId&, const VmId&, Epoch markedEpoch);
    void runVisit(Visit&);
    std::set<ledger::AttemptKey> pendingStops(const Visit&) const;
    bool isSyncDue(const Visit&) const;
    bool sendStop(const Visit&, const ledger::AttemptKey&);
    bool sendSync(const Visit&);
    void sendStarts(const Visit&);
    bool sendStart(const Visit&, const ledger::AttemptKey&);
    void sendUncommittedStarts(const Visit&);
    StartCall makeStart(const Visit&, const schema::LedgerEntryT&) const;
    std::optional<StartCall> gatedStart(const Visit&, const ledger::AttemptKey&) const;
    bool takeStartError(const Visit&, const ledger::AttemptKey&, const WorkerError&);
    SyncCall makeSync(const Visit&, const schema::ShardRecordT&) const;
    bool sendThrottles(const Visit&);
    void noteThrottle(const Visit&, const ledger::AttemptKey&, unsigned sharePerMille, const Expected<void, WorkerError>&);
    void notePolicyActions(const std::vector<PolicyAction>&);
    void takeAnswer(const Visit&, const SyncAnswer&);
    void noteContact(const Visit&, bool isAnswered, std::optional<MonotonicTime> mayHaveRenewedAt);
    ShardRecords::Record currentRecord(const Visit&) const;

    // Runs the change on the shard's and the worker's memory while the shard is still owned under the same epoch.
    template <typename Change> void change(const Visit&, const Change&) const;

    TaskContext m_context;
};

} // namespace kingcuploom
