#pragma once

#include "routing/ExecutorSlots.h"
#include "routing/FairQueue.h"
#include "routing/RetryBudget.h"
#include "routing/ServiceTime.h"

#include "schema/generated/link_generated.h"

#include <variant>

namespace kingcuploom::routing {

// Limits of queueing, ejection and relaying in one pool.
struct AdmissionLimits {
    std::size_t queueLimit = 512;
    std::uint32_t maxEjectedPerMille = 300;
    // Maximum number of times that a call is relayed to another owner.
    int maxRelays = 1;
};

struct RunningCall {
    QueuedCall call;
    ExecutorId executor;
    MonotonicTime startedAt;
    // The deadline has passed, and the failure is already recorded in the health of the executor.
    bool isOverdue = false;
};

// Calls and executors of one service at one owner. All shards of the service that the owner has share one pool.
struct Pool {
    AdmissionLimits limits;
    FairQueue queue;
    ServiceTime serviceTime;
    RetryBudget retryBudget;
    std::map<ExecutorId, ExecutorSlots> executors;
    std::map<CallId, RunningCall> running;
    std::map<TeamName, double> weights;
};

// A new or relayed call. "remoteSpareSlots" is the largest number of spare slots in any shard of another owner, from the last load
// figures received.
struct Arrival {
    QueuedCall call;
    int relays = 0;
    int remoteSpareSlots = 0;
};

enum class CallResult {
    Succeeded,
    // The executor failed and may have run the call.
    Failed,
    // The connection failed before any byte of the call was sent, so a retry is safe.
    NotSent,
    // Ended for a reason that is neither a success nor a failure of the executor.
    Inconclusive,
    // Not sent, because the ownership or the limits changed after the dispatch. The call is queued again.
    Recalled,
};

// The end of a dispatched call.
struct Completion {
    CallId id;
    CallResult result = CallResult::Succeeded;
    // False when the caller already has its answer or has disconnected; the call is then neither retried nor queued again.
    bool isCallerWaiting = true;
};

// The deadline of a dispatched call has passed without an answer. The slot stays busy until the call completes, because the executor
// may still be running it.
struct Overdue {
    CallId id;
};

// The caller has disconnected. Removes the call if it is still queued; a dispatched call runs to its completion.
struct Abandonment {
    CallId id;
};

// Replaces the executors that the owner may use and the weights of the teams. Executors that are not listed get no new calls.
// "remoteSpareSlots" is as in Arrival; it decides whether the queued calls are relayed or refused if no executor is left to run them.
struct TargetsChange {
    std::vector<TargetLimits> targets;
    std::map<TeamName, double> weights;
    int remoteSpareSlots = 0;
};

// Number of active requests that an executor reports.
struct StatusReport {
    ExecutorId executor;
    int active = 0;
};

// Periodic event that applies everything that depends on the time: ejection and takeover expiry, and deadlines of queued calls.
// A takeover expires when requests of the previous owner of a shard can no longer use slots (see TargetLimits::predecessorUntil).
struct Tick { };

using Event = std::variant<Arrival, Completion, Overdue, Abandonment, TargetsChange, StatusReport, Tick>;

// Send the call to the executor now.
struct Dispatch {
    CallId id;
    ExecutorId executor;
};

// Final action: answer the caller with a refusal; the call was not run. The exception is a refused retry: the caller then gets the
// result of the earlier execution.
struct Refuse {
    CallId id;
    schema::RefusalReason reason = schema::RefusalReason::NoCapacity;
    Milliseconds retryAfter {};
};

// Forward the call to another owner. The pool has already removed it.
struct Relay {
    CallId id;
};

// Final action: return the result of the last execution to the caller.
struct Deliver {
    CallId id;
};

// Notification for the log, the metrics and the audit log, with nothing else to do: the pool has ejected the executor for failures, or
// because it is slow.
struct Ejected {
    ExecutorId executor;
    bool isSlow = false;
};

using Action = std::variant<Dispatch, Refuse, Relay, Deliver, Ejected>;

// Applies the event to the pool and returns the actions that the daemon must perform.
std::vector<Action> decide(Pool&, const Event&, MonotonicTime now);

// Slots that are free for another call now, in one shard, or in all shards if the ID is empty.
int freeSlots(const Pool&, const ShardId&);

// Slots that would be free if the owner had no requests running, in one shard, or in all shards if the ID is empty.
int usableSlots(const Pool&, const ShardId&);

// Slots in the owner's portion, the part of the executors' limits that the ownership of the shard lets it use. Includes busy slots and
// those of ejected executors.
int portionSlots(const Pool&, const ShardId&);

// Computes the load of one shard of the pool, with the queue length divided among the shards in proportion to their slots.
// Service and epoch are not set.
schema::LoadFigureT computeLoadFigure(const Pool&, const ShardId&);

// Retry delay for a refused call: the estimated time until the queue has drained and another slot is free, within fixed bounds.
Milliseconds computeRetryAfter(const Pool&);

} // namespace kingcuploom::routing
