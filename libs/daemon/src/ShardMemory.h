#pragma once

#include "WorkerPort.h"
#include "ledger/ShardLedger.h"
#include "ledger/WorkerReports.h"
#include "placement/FailureHistory.h"
#include "placement/Placement.h"
#include "placement/WorkerController.h"

#include <map>
#include <optional>
#include <set>

namespace kingcuploom {

constexpr unsigned fullShare = 1000;

// Share of its processors that a batch task may use, in per mille.
struct TaskShare {
    unsigned wanted = fullShare;
    // What the worker last confirmed; unknown for a task that another owner started.
    std::optional<unsigned> confirmed;
};

// What the owner remembers of one worker besides the ledger.
struct WorkerMemory {
    ledger::WorkerContact contact;
    // A visit is queued or running; leases may be renewed at any moment until it ends.
    bool isVisited = false;
    MonotonicTime nextSyncAt {};
    // Starts held back by the start gate are tried again from then on.
    MonotonicTime nextStartAt {};
    std::set<ledger::AttemptKey> acknowledge;
    std::set<ledger::AttemptKey> orphans;
    unsigned failuresInARow = 0;
    // Finished and failed attempts that are reported until acknowledged and were counted before.
    std::set<ledger::AttemptKey> countedEnds;
    std::optional<MonotonicTime> quarantinedUntil;
    placement::ControllerState controller;
    placement::PresenceLog presence;
    // Of the batch tasks that run there.
    std::map<ledger::AttemptKey, TaskShare> shares;
    // False once the worker has refused a throttle call.
    bool canThrottle = true;
};

// Use of a running task as its worker reported it.
struct ObservedUse {
    std::string className;
    ResourceAmounts declared;
    ResourceAmounts latest;
    ResourceAmounts largest;
    MonotonicTime firstReportAt {};
    // The correction of the class has been told.
    bool isLearned = false;
};

// What the owner of a shard remembers besides the committed ledger. Lost with the process; rebuilt from the workers' reports.
struct ShardMemory {
    Epoch epoch;
    MonotonicTime ownedSince {};
    MonotonicTime nextCommitAt {};
    // Not committed yet.
    ledger::Outcomes outcomes;
    std::map<ledger::AttemptKey, std::uint64_t> checkpoints;
    ledger::ConfirmedCalls confirmed;
    // Starts that a worker may have received, inherited ones included.
    std::set<ledger::AttemptKey> maybeStarted;
    // Filled only while the guard "commit-before-start" is off.
    std::vector<std::pair<VmId, schema::LedgerEntryT>> uncommittedStarts;
    std::map<ledger::AttemptKey, MonotonicTime> waitingSince;
    std::map<ledger::AttemptKey, placement::PlacementRefusal> refusals;
    // When batch tasks were last stopped to make room for a standing task.
    std::map<ledger::AttemptKey, MonotonicTime> preemptedAt;
    std::map<TaskId, ObservedUse> usage;
    std::map<VmId, WorkerMemory> workers;
    placement::FailureTable failures;
    // Worker on which a task of the job last finished.
    std::map<JobName, VmId> lastSuccess;
    placement::EvictionBudget evictionBudget;
    // Evictions that the policy has decided on, until the ledger holds their stops.
    std::map<ledger::AttemptKey, schema::EndReason> policyStops;
    // Moves that the policy allows at this time.
    double moveTokens = 0;
    MonotonicTime tokensAt {};
};

} // namespace kingcuploom
