#pragma once

#include "routing/ExecutorSlots.h"
#include "routing/FairQueue.h"
#include "routing/RetryBudget.h"
#include "routing/ServiceTime.h"

#include "schema/generated/link_generated.h"

#include <variant>

namespace kingcuploom::routing {

// Limits of one pool.
struct AdmissionLimits {
    std::size_t queueLimit = 512;
    std::uint32_t maxEjectedPerMille = 300;
    // Times that a call may be passed on to another owner.
    int maxRelays = 1;
};

struct RunningCall {
    QueuedCall call;
    ExecutorId executor;
    MonotonicTime startedAt;
    // Counted as a failure of the executor already.
    bool isOverdue = false;
};

// Calls and executors of one service at one owner. All shards that the owner has form one pool.
struct Pool {
    AdmissionLimits limits;
    FairQueue queue;
    ServiceTime serviceTime;
    RetryBudget retryBudget;
    std::map<ExecutorId, ExecutorSlots> executors;
    std::map<CallId, RunningCall> running;
    std::map<TeamName, double> weights;
};

// A call has come in. "spareElsewhere" is the spare of the best other owner by the ingress figures.
struct Arrival {
    QueuedCall call;
    int relays = 0;
    int remoteSpareSlots = 0;
};

enum class CallResult {
    Succeeded,
    // The executor failed; it may have run the call.
    Failed,
    // The executor failed before a byte was sent.
    NotSent,
    // Ended for a reason that says nothing about the executor.
    Inconclusive,
    // Not sent, because the ownership or the limits changed after the decision: the call waits again.
    Recalled,
};

// A dispatched call has ended.
struct Completion {
    CallId id;
    CallResult result = CallResult::Succeeded;
    // False when the caller has its answer or has gone away: the call is neither retried nor queued again.
    bool isCallerWaiting = true;
};

// The deadline of a dispatched call has passed without an answer. The slot stays in use until the call's completion, because the
// executor may still run it.
struct Overdue {
    CallId id;
};

// The caller has gone away; only a call that still waits is removed.
struct Abandonment {
    CallId id;
};

// All executors that the owner may use now; executors not listed get no new work.
struct TargetsChange {
    std::vector<TargetLimits> targets;
    std::map<TeamName, double> weights;
    int remoteSpareSlots = 0;
};

struct StatusReport {
    ExecutorId executor;
    int active = 0;
};

// Time has passed.
struct Tick { };

using Event = std::variant<Arrival, Completion, Overdue, Abandonment, TargetsChange, StatusReport, Tick>;

// Send the call to the executor now.
struct Dispatch {
    CallId id;
    ExecutorId executor;
};

// Final: the call was not run.
struct Refuse {
    CallId id;
    schema::RefusalReason reason = schema::RefusalReason::NoCapacity;
    Milliseconds retryAfter {};
};

// Pass the call on to another owner; this one has forgotten it.
struct Relay {
    CallId id;
};

// Final: hand the result of the last execution to the caller.
struct Deliver {
    CallId id;
};

struct Ejected {
    ExecutorId executor;
    bool isSlow = false;
};

using Action = std::variant<Dispatch, Refuse, Relay, Deliver, Ejected>;

std::vector<Action> decide(Pool&, const Event&, MonotonicTime now);

// Free slots of one shard, or of all when empty.
int freeSlots(const Pool&, const ShardId&);
int usableSlots(const Pool&, const ShardId&);

// Slots that the portion covers, whatever uses them now.
int offeredSlots(const Pool&, const ShardId&);

// Load of one shard of the pool; service and epoch are left to the caller. The queue is divided among the shards by their slots.
schema::LoadFigureT computeLoadFigure(const Pool&, const ShardId&);

// Time until a slot is expected for a call that is refused now.
Milliseconds computeRetryAfter(const Pool&);

} // namespace kingcuploom::routing
