#pragma once

#include "routing/ExecutorHealth.h"

#include "base/Ids.h"

#include <optional>
#include <vector>

namespace kingcuploom::routing {

// What the owner may use of one executor, from the VM list and the ownership of its shard.
struct TargetLimits {
    ExecutorId executor;
    ShardId shard;
    // The executor's own limit and the part of it that the owner's portion covers. The smaller of slots and connections counts, because
    // each slot in use takes one connection.
    int limit = 0;
    int allowed = 0;
    // Slots that the predecessor may still use, as long as "predecessorUntil" lies ahead.
    int predecessorMax = 0;
    std::optional<MonotonicTime> predecessorUntil;
    bool isLeaving = false;
};

// Counters of one executor.
struct ExecutorSlots {
    TargetLimits limits;
    int busy = 0;
    int predecessorBusy = 0;
    // A query of the executor's status is under way, which takes one connection of the portion.
    bool isStatusPending = false;
    ExecutorHealth health;
};

// New limits for a known executor, or a new one. A known takeover keeps its lower predecessor count.
void updateLimits(ExecutorSlots&, const TargetLimits&);

// Takes the active count of the executor's status. Own requests in it are not subtracted: one that is still on its way to the executor
// would hide one of the predecessor's.
void observeStatus(ExecutorSlots&, int active);

// Ends the predecessor's use when its time is over.
void expirePredecessor(ExecutorSlots&, MonotonicTime now);

// Slots that one more request may use now, from the limits alone and with health.
int freeSlotsByLimits(const ExecutorSlots&);
int freeSlots(const ExecutorSlots&);

// Slots that would be usable if none were in use.
int usableSlots(const ExecutorSlots&);

} // namespace kingcuploom::routing
