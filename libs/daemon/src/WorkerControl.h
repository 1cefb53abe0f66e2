#pragma once

#include "ShardView.h"

namespace kingcuploom {

// An action of the policy on one task or on a worker, with its reason code and figures.
struct PolicyAction {
    ledger::AttemptKey key;
    const char* name = "";
    const char* reason = "";
    std::string figures;
    // Set for an action on a worker; the attempt is then its cause.
    std::optional<VmId> worker {};
};

// Learns interference from a usage report of one worker and decides what to throttle, release and evict there. Throttles are sent by the
// visitor, evictions go through the ledger. "source" refers to the given memory and models. Needs the mutex of the shard table.
std::vector<PolicyAction> controlWorker(
    const ShardViewSource& source, const VmId&, const SyncAnswer&, ShardMemory&, WorkerMemory&, LearnedModels&);

} // namespace kingcuploom
