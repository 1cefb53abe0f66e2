#pragma once

#include "scheduler/Advice.h"

#include <functional>

namespace kingcuploom::node {

// The service that knows which workers may run the steps of some queues.
class PlacementAdviser {
public:
    virtual ~PlacementAdviser() = default;

    // On the event loop's thread; the callback is not called from within the method.
    virtual void requestAdvice(const scheduler::AdviceOrder&, Milliseconds timeout,
        std::function<void(const Expected<scheduler::Advice, scheduler::AdviceError>&)>)
        = 0;
};

} // namespace kingcuploom::node
