#pragma once

#include "base/Expected.h"
#include "scheduler/Model.h"

#include <functional>
#include <set>

namespace kingcuploom::node {

enum class InventoryError {
    NoAnswer,
    Refused,
    Malformed,
};

const char* toString(InventoryError);

// The platform's own knowledge of which workers live, cut off ones included.
class FleetInventory {
public:
    virtual ~FleetInventory() = default;

    // All workers that live. On the event loop's thread; the callback is not called from within the method.
    virtual void listLiveWorkers(std::function<void(Expected<std::set<scheduler::WorkerId>, InventoryError>)>) = 0;
};

} // namespace kingcuploom::node
