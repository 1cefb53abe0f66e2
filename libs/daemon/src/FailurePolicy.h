#pragma once

#include "ShardView.h"
#include "WorkerControl.h"

namespace kingcuploom {

// Counts the ends that one worker reports, each attempt once: backs tasks off, quarantines the worker or finds the fault in the task. Sets
// the reason of failed outcomes accordingly. Needs the mutex of the shard table.
std::vector<PolicyAction> noteEnds(const ShardViewSource&, const VmId&, ledger::Outcomes&, ShardMemory&, WorkerMemory&);

// Frees the probes of workers whose probing task ended without a result, and forgets the tasks of jobs that match.
void tidyFailures(const schema::ShardRecordT&, ShardMemory&, const std::function<bool(const JobName&)>& isDone);

// The worker to run the task on, if possible none of the given ones.
Expected<std::size_t, placement::PlacementRefusal> chooseAvoiding(
    placement::PlacementView&, const placement::PlacementTask&, const std::vector<std::string>& avoided, MonotonicTime now);

// Marks quarantined workers and those that a probe is due for.
void applyStandings(placement::PlacementView&, const ShardViewSource&);

} // namespace kingcuploom
