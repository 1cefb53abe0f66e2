#pragma once

#include "base/Expected.h"
#include "scheduler/Inventory.h"

#include <functional>

namespace kingcuploom::node {

enum class InventoryError {
    NoAnswer,
    Refused,
    Malformed,
};

const char* toString(InventoryError);

// The platform's inventory of VMs. Includes those whose worker this node cannot reach.
class FleetInventory {
public:
    virtual ~FleetInventory() = default;

    // Passes all VMs, or an error, to the callback. Must be called on the event loop's thread; the callback runs on it, never before the
    // method has returned.
    virtual void listVms(std::function<void(Expected<scheduler::Inventory, InventoryError>)>) = 0;
};

} // namespace kingcuploom::node
