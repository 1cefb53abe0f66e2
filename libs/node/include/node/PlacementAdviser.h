#pragma once

#include "scheduler/Advice.h"

#include <functional>

namespace kingcuploom::node {

// Interface to the service that decides which workers may run the steps of advised queues.
class PlacementAdviser {
public:
    virtual ~PlacementAdviser() = default;

    // Must be called on the event loop's thread; the callback runs on it, never before the method has returned.
    virtual void requestAdvice(const scheduler::AdviceOrder&, Milliseconds timeout,
        std::function<void(const Expected<scheduler::Advice, scheduler::AdviceError>&)>)
        = 0;
};

} // namespace kingcuploom::node
