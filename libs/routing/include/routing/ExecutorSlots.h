#pragma once

#include "routing/ExecutorHealth.h"

#include "base/Ids.h"

#include <optional>
#include <vector>

namespace kingcuploom::routing {

// Slots of one executor that the owner may use, from the VM list and the ownership of its shard.
struct TargetLimits {
    ExecutorId executor;
    ShardId shard;
    // The executor's own limit, and the part of it in the owner's portion. Each busy slot takes one connection, so both are the smaller
    // of slots and connections.
    int limit = 0;
    int allowed = 0;
    // Maximum number of slots that requests of the previous owner may still use until "predecessorUntil".
    int predecessorMax = 0;
    std::optional<MonotonicTime> predecessorUntil;
    bool isLeaving = false;
};

// Slot usage and health of one executor.
struct ExecutorSlots {
    TargetLimits limits;
    int busy = 0;
    int predecessorBusy = 0;
    // A status request to the executor is in flight and uses one connection of the portion.
    bool isStatusPending = false;
    ExecutorHealth health;
};

// Applies the limits of a new or known executor. If the takeover is already known, the predecessor's busy count is not reset, since
// status reports may have lowered it.
void updateLimits(ExecutorSlots&, const TargetLimits&);

// Lowers the predecessor's busy count to the active count that the executor reports. The owner's requests are not subtracted: the
// report does not contain those in flight to the executor, so subtracting them would hide requests of the predecessor.
void observeStatus(ExecutorSlots&, int active);

// Frees the predecessor's slots after "predecessorUntil".
void expirePredecessor(ExecutorSlots&, MonotonicTime now);

// Slots that are free for new requests: by the limits alone, and by the limits and the health state.
int freeSlotsByLimits(const ExecutorSlots&);
int freeSlots(const ExecutorSlots&);

// Slots that would be free if the owner had no requests running.
int usableSlots(const ExecutorSlots&);

} // namespace kingcuploom::routing
