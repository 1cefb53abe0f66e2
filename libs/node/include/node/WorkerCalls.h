#pragma once

#include "base/Expected.h"
#include "scheduler/Orders.h"

#include <functional>

namespace kingcuploom::node {

// Recipient of an order.
struct WorkerTarget {
    scheduler::WorkerId id;
    Address address;
    FailureDomain domain;
    // Fencing token of the orders to this incarnation of the worker; none below that of the term.
    Revision fence;
};

struct StartMessage {
    scheduler::RunRef run;
    std::string payload;
    std::string checkpoint;
    // Ticket of the queue's adviser; empty for queues without one.
    std::string ticket;
    // In milliseconds on the worker's clock.
    std::int64_t leaseUntilMs = 0;
    Revision fence;
    bool isRepeat = false;
    // A start whose sending has not begun within this time is withheld as StartResult::StaleView.
    std::optional<Milliseconds> maxSendDelay;
};

struct PollMessage {
    // In milliseconds on the worker's clock. If empty, leases are not extended.
    std::optional<std::int64_t> leaseUntilMs;
    scheduler::EndNumber acknowledgedEnd;
    Milliseconds wait { 0 };
    Revision fence;
    bool isRepeat = false;
    // Last end that the sender has handled; an answer that lists no later one may be withheld until "wait" has passed.
    scheduler::EndNumber knownEnd;
};

// Sends orders to workers. Methods must be called on the event loop's thread. Callbacks run on the same thread, never before the method has
// returned.
class WorkerCalls {
public:
    virtual ~WorkerCalls() = default;

    // A term of this node begins or ends. Orders are sent only during a term.
    virtual void beginTerm(Revision) { }
    virtual void endTerm() { }

    virtual void start(const WorkerTarget&, const StartMessage&, std::function<void(scheduler::StartResult)>) = 0;
    virtual void stop(const WorkerTarget&, const scheduler::RunRef&, Revision fence, std::function<void(scheduler::StopResult)>) = 0;
    virtual void poll(const WorkerTarget&, const PollMessage&, std::function<void(Expected<scheduler::PollReport, scheduler::PollFailure>)>)
        = 0;
    virtual void pace(const WorkerTarget&, const scheduler::RunRef&, int percent, Revision fence, std::function<void(bool isAccepted)>) = 0;
};

} // namespace kingcuploom::node
