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

// The platform's inventory of live workers. Includes workers that this node cannot reach.
class FleetInventory {
public:
    virtual ~FleetInventory() = default;

    // Passes all live workers, or an error, to the callback. Must be called on the event loop's thread; the callback runs on it, never
    // before the method has returned.
    virtual void listLiveWorkers(std::function<void(Expected<std::set<scheduler::WorkerId>, InventoryError>)>) = 0;
};

} // namespace kingcuploom::node
