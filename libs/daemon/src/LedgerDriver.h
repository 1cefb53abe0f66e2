#pragma once

#include "ShardView.h"
#include "TaskContext.h"

namespace kingcuploom {

// What the owner of a shard remembers of an attempt besides the ledger.
struct AttemptNote {
    // Why it has no place, when the last choice refused it.
    std::optional<placement::PlacementRefusal> refusal;
    // It waits after a failure.
    bool isBackingOff = false;
    std::optional<unsigned> sharePerMille;
};

// Group commits of the owned shards. Thread-safe; commits of different shards may run at the same time.
class LedgerDriver {
public:
    explicit LedgerDriver(const TaskContext&);

    // Drops the memory of shards that are no longer owned, and adopts new ones.
    void adoptShards(const std::vector<OwnedShard>&);

    bool isCommitDue(const ShardId&) const;

    // Applies what happened since the last commit to the ledger and writes it, when something changed.
    void commitRound(const ShardId&);

    std::vector<schema::CapacityFigureT> capacityFigures() const;

    AttemptNote noteOf(const ShardId&, const VmId&, const ledger::AttemptKey&) const;

    // Standing of a worker of an owned shard that gets no or only one task because of failures.
    std::optional<std::string> quarantineOf(const ShardId&, const VmId&) const;

private:
    struct Round;

    bool applyRound(schema::ShardRecordT&, Round&);
    unsigned applyMoves(schema::ShardRecordT&, const Round&, ShardMemory&) const;
    unsigned returnWaiting(schema::ShardRecordT&, const Round&, ShardMemory&) const;
    unsigned placeWaiting(schema::ShardRecordT&, const Round&, ShardMemory&) const;
    std::vector<std::string> failedWorkersOf(const TaskId&) const;
    unsigned preemptForStanding(schema::ShardRecordT&, const Round&, ShardMemory&) const;
    unsigned applyPolicyStops(schema::ShardRecordT&, ShardMemory&) const;
    void giveUpSilentWorkers(const schema::ShardRecordT&, const Round&, ShardMemory&) const;
    ShardViewSource sourceOf(const schema::ShardRecordT&, const ShardMemory&, const Round&) const;
    void finishRound(const ShardId&, const schema::ShardRecordT& before, const schema::ShardRecordT& after);
    bool isDone(const JobName&) const;
    void auditChanges(const schema::ShardRecordT& before, const schema::ShardRecordT& after) const;
    void noteFailure(const ShardId&, UpdateErrorCode);

    TaskContext m_context;
};

} // namespace kingcuploom
