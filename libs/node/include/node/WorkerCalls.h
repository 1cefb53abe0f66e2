#pragma once

#include "base/Expected.h"
#include "scheduler/Orders.h"

#include <functional>

namespace kingcuploom::node {

// Where an order goes to.
struct WorkerTarget {
    scheduler::WorkerId id;
    Address address;
};

struct StartMessage {
    scheduler::RunRef run;
    std::string payload;
    std::string checkpoint;
    // Of the queue's adviser; empty without one.
    std::string ticket;
    // On the worker's clock, milliseconds.
    std::int64_t leaseUntilMs = 0;
    Revision fence;
    bool isRepeat = false;
};

struct LookMessage {
    // On the worker's clock, milliseconds; leases are not extended without it.
    std::optional<std::int64_t> leaseUntilMs;
    scheduler::EndNumber acknowledged;
    Milliseconds wait { 0 };
    Revision fence;
    bool isRepeat = false;
};

// Orders to workers. All methods and callbacks run on the thread of the event loop; no callback is called from within a method.
class WorkerCalls {
public:
    virtual ~WorkerCalls() = default;

    virtual void start(const WorkerTarget&, const StartMessage&, std::function<void(scheduler::StartResult)>) = 0;
    virtual void stop(const WorkerTarget&, const scheduler::RunRef&, Revision fence, std::function<void(scheduler::StopResult)>) = 0;
    virtual void look(const WorkerTarget&, const LookMessage&, std::function<void(Expected<scheduler::PollReport, scheduler::PollFailure>)>)
        = 0;
    virtual void pace(const WorkerTarget&, const scheduler::RunRef&, int percent, Revision fence, std::function<void(bool isAccepted)>) = 0;
};

} // namespace kingcuploom::node
