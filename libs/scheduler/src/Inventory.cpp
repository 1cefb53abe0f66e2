#include "scheduler/Inventory.h"

#include "scheduler/Leases.h"
#include "scheduler/Runs.h"
#include "scheduler/Suspects.h"

#include <algorithm>
#include <unordered_map>

namespace kingcuploom::scheduler {

namespace {

    // Consecutive inventories without a worker before it counts as gone. A single inventory may predate the start of the worker.
    constexpr unsigned minMissedInventories = 2;

    // Inventory entries by VM and by worker.
    struct InventoryIndex {
        std::unordered_map<VmId, const InventoryEntry*> byVm;
        std::unordered_map<WorkerId, const InventoryEntry*> byWorker;
    };

    InventoryIndex indexInventory(const Inventory& inventory)
    {
        InventoryIndex index;
        for (const auto& entry : inventory) {
            index.byVm.emplace(entry.vm, &entry);
            if (!entry.worker.empty())
                index.byWorker.emplace(entry.worker, &entry);
        }
        return index;
    }

    const InventoryEntry* findEntry(const InventoryIndex& index, const Worker& worker)
    {
        if (const auto it = index.byWorker.find(worker.id); it != index.byWorker.end())
            return it->second;
        const auto it = index.byVm.find(worker.vm);
        return it == index.byVm.end() ? nullptr : it->second;
    }

    // What an inventory shows of the VM of a worker that is gone.
    struct VmFinding {
        const char* reason;
        LossKind loss;
        // The worker may start again under its id.
        bool mayReturn = false;
    };

    VmFinding assessVm(const InventoryEntry* entry, const Worker& worker)
    {
        // A VM that crashed is listed as down until it is back. One that was listed and is not any more has been taken away for good.
        if (!entry && !worker.vm.empty())
            return { "vm_removed", LossKind::Unexplained };
        if (!entry)
            return { "vm_not_known", LossKind::Unexplained, true };
        switch (entry->state) {
        case VmState::Up:
            return { "vm_runs_another_worker", LossKind::Crashed };
        case VmState::Down:
            return { "vm_down", LossKind::Crashed, true };
        case VmState::ChangingPool:
            return { "vm_changes_pool", LossKind::Taken };
        case VmState::InMaintenance:
            return { "vm_in_maintenance", LossKind::Taken };
        case VmState::Unknown:
            break;
        }
        return { "vm_state_unknown", LossKind::Unexplained, true };
    }

    // A run whose start may be on its way is stopped, and its task is not started elsewhere: the worker may be back by the time the order
    // arrives.
    void holdRun(State& state, const RunRef& ref, const WorkerLoss& loss, MonotonicTime now, Orders& orders)
    {
        const auto& run = *findRun(state, ref);
        if (run.stopReason == StopReason::None)
            reportOpenStarts(ref, run, run.hasUnknownStarts ? "held_not_known" : "held", now, orders);
        countCrash(state, ref, loss, now);
        stopRun(state, ref, StopReason::UncertainStart, now, orders);
    }

    void loseRuns(State& state, Worker& worker, const VmFinding& finding, MonotonicTime sentAt, MonotonicTime now, Orders& orders)
    {
        // The VM may have been up since it was listed, and be out of reach.
        const auto isHeld = [&](const RunRef& ref) {
            const auto& run = *findRun(state, ref);
            return finding.mayReturn && mayArriveLate(run) && sentAt <= computeUnseenRunEnd(state, run);
        };
        const auto isStopped = [&](const RunRef& ref) { return findRun(state, ref)->stopReason != StopReason::None; };
        const auto refs = worker.runs;
        if (std::ranges::all_of(refs, [&](const RunRef& ref) { return isHeld(ref) && isStopped(ref); }))
            return;
        orders.emplace_back(Decision { "worker_gone", {}, worker.id, finding.reason,
            std::chrono::duration_cast<Milliseconds>(now - worker.lastAnswerAt), static_cast<std::int64_t>(refs.size()) });
        const auto loss = assessLoss(state, worker, worker.isDraining ? LossKind::Left : finding.loss);
        std::ranges::for_each(refs,
            [&](const RunRef& ref) { isHeld(ref) ? holdRun(state, ref, loss, now, orders) : loseRun(state, ref, loss, now, orders); });
        // Suspected tasks explain this loss, so it says nothing about the losses of other workers.
        if (worker.suspectRuns > 0)
            worker.silenceBeganAt.reset();
        // A worker that returns is a new incarnation.
        worker.isListed = false;
        worker.unlistedSince = now;
    }

} // namespace

void onInventory(State& state, const Inventory& inventory, MonotonicTime sentAt, MonotonicTime now, Orders& orders)
{
    const auto index = indexInventory(inventory);
    for (auto& [id, worker] : state.workers) {
        const auto* entry = findEntry(index, worker);
        const bool isUp = entry && entry->worker == id && entry->state == VmState::Up;
        if (isUp) {
            worker.vm = entry->vm;
            worker.isShownUp = true;
        }
        const bool isAbsent = !isUp && worker.lastAnswerAt < sentAt;
        worker.missedInventories = isAbsent ? worker.missedInventories + 1 : 0;
        // An earlier inventory has shown this incarnation as up, so this one is not older than its start.
        const bool isKnownDown = isAbsent && worker.missedPolls > 0 && worker.isShownUp && entry && entry->state == VmState::Down;
        if ((isKnownDown || worker.missedInventories >= minMissedInventories) && !worker.runs.empty())
            loseRuns(state, worker, assessVm(entry, worker), sentAt, now, orders);
    }
}

bool isInventoryUrgent(const State& state)
{
    // Without its VM, the crash of a new worker cannot be told from other losses.
    const bool isVmWanted = !state.suspects.empty()
        && std::ranges::any_of(state.workers, [](const auto& entry) { return !entry.second.runs.empty() && entry.second.vm.empty(); });
    return isVmWanted || std::ranges::any_of(state.workers, [](const auto& entry) {
        const auto& worker = entry.second;
        return !worker.runs.empty() && (worker.missedPolls > 0 || !worker.isListed || worker.missedInventories > 0);
    });
}

} // namespace kingcuploom::scheduler
