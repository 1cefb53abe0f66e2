#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

enum class VmState {
    Up,
    Down,
    ChangingPool,
    InMaintenance,
    // The platform uses a state that this build does not know.
    Unknown,
};

struct InventoryEntry {
    VmId vm;
    // The worker that the VM runs; empty if there is none.
    WorkerId worker;
    VmState state = VmState::Unknown;
};

// All VMs that the platform knows.
using Inventory = std::vector<InventoryEntry>;

// Handles an inventory that was requested at sentAt. Releases the runs of workers that do not answer and whose VM is down, or that are not
// up in several consecutive inventories.
void onInventory(State&, const Inventory&, MonotonicTime sentAt, MonotonicTime now, Orders&);

// Returns true if runs are recorded on workers that do not answer or are no longer listed, or, while tasks are suspected of crashes, on
// workers whose VM is not known.
bool isInventoryUrgent(const State&);

} // namespace kingcuploom::scheduler
