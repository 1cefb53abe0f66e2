#include "WorkerControl.h"

#include "ledger/TaskStates.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom {

using ledger::AttemptKey;
using ledger::keyOf;
using placement::ControlKind;
using schema::EndReason;
using schema::JobKind;
using schema::TaskState;

namespace {

    // Throttling protects the other tasks until the stop has been committed and sent.
    constexpr unsigned shareBeforeEviction = 100;

    struct Control {
        const ShardViewSource& source;
        const VmId& vm;
        const SyncAnswer& answer;
        ShardMemory& memory;
        WorkerMemory& worker;
        LearnedModels& learned;
        std::vector<PolicyAction> actions;

        MonotonicTime measuredAt() const { return source.now - answer.usageAge; }
    };

    using Entries = std::vector<const schema::LedgerEntryT*>;

    // Ledger entries that the worker reports as running.
    Entries runningEntries(const Control& control)
    {
        Entries entries;
        for (const auto& report : control.answer.reports) {
            const auto* entry = ledger::findEntry(control.source.record, report.key);
            const bool isHere = entry && entry->worker == control.vm.value() && ledger::holdsCapacity(entry->state);
            if (isHere && report.state == ledger::ReportedState::Running)
                entries.push_back(entry);
        }
        return entries;
    }

    // A predecessor may have throttled the tasks that it started, so their shares are unknown until a call has set them.
    void updateShares(Control& control, const Entries& running)
    {
        std::map<AttemptKey, TaskShare> shares;
        for (const auto* entry : running) {
            if (entry->kind != JobKind::Batch)
                continue;
            const auto key = keyOf(*entry);
            const auto known = control.worker.shares.find(key);
            const bool isStartedHere = control.memory.confirmed.starts.contains(key);
            const auto initial = isStartedHere ? std::optional(fullShare) : std::nullopt;
            shares[key] = known == control.worker.shares.end() ? TaskShare { fullShare, initial } : known->second;
        }
        control.worker.shares = std::move(shares);
    }

    placement::ClassLoads loadsOf(const Control& control, const Entries& running)
    {
        placement::ClassLoads loads;
        for (const auto* entry : running) {
            if (entry->kind == JobKind::Batch)
                loads[entry->class_name] += control.worker.shares.at(keyOf(*entry)).confirmed.value_or(fullShare) / double(fullShare);
        }
        return loads;
    }

    // By service, the highest of its tasks here.
    std::map<std::string, double> slowdownsOf(const Control& control, const Entries& running)
    {
        std::map<std::string, double> slowdowns;
        for (const auto& usage : control.answer.usage) {
            const auto entry = std::ranges::find_if(running, [&](const auto* it) { return keyOf(*it).task == usage.task; });
            if (entry == running.end() || (*entry)->kind != JobKind::Standing)
                continue;
            auto& slowdown = slowdowns.try_emplace((*entry)->class_name, usage.slowdown).first->second;
            slowdown = std::max(slowdown, usage.slowdown);
        }
        return slowdowns;
    }

    bool isToBeStopped(const Control& control, const schema::LedgerEntryT& entry)
    {
        return entry.state == TaskState::Stopping || control.memory.policyStops.contains(keyOf(entry));
    }

    // The larger of declared and observed use would evict tasks from a worker whose actual use fits.
    ResourceAmounts actualUse(const Control& control, const schema::LedgerEntryT& entry)
    {
        auto use = ledger::demandOf(entry);
        if (const auto it = control.memory.usage.find(keyOf(entry).task); it != control.memory.usage.end()) {
            use.cpu = it->second.latest.cpu;
            use.memory = it->second.latest.memory;
        }
        return use;
    }

    void evict(Control& control, const TaskId& task, EndReason reason, const std::string& figures)
    {
        const auto share = std::ranges::find(control.worker.shares, task, [](const auto& it) { return it.first.task; });
        if (share == control.worker.shares.end())
            return;
        control.memory.policyStops[share->first] = reason;
        if (control.worker.canThrottle)
            share->second.wanted = std::min(share->second.wanted, shareBeforeEviction);
        control.actions.push_back({ share->first, "evict", schema::EnumNameEndReason(reason), "worker=" + control.vm.value() + figures });
    }

    // Evicts least lost work first and regardless of the budget: no worker may have more than its resources (G1).
    void relieveOvercommit(Control& control, const Entries& running)
    {
        const auto vm = control.source.targets.vms.find(control.vm);
        if (vm == control.source.targets.vms.end() || control.answer.usage.empty())
            return;
        placement::WorkerView view;
        view.vm = control.vm;
        view.capacity = { vm->second.cpu, vm->second.memory, vm->second.accelerators };
        std::map<TaskId, ResourceAmounts> uses;
        for (const auto* entry : running) {
            if (isToBeStopped(control, *entry))
                continue;
            uses[keyOf(*entry).task] = actualUse(control, *entry);
            view.inUse += uses[keyOf(*entry).task];
        }
        auto batch = runningBatch(control.source, control.vm);
        std::erase_if(batch, [&](const auto& task) { return !uses.contains(task.task); });
        std::ranges::for_each(batch, [&](auto& task) { task.use = uses.at(task.task); });
        const auto figures = " cpu_millis=" + std::to_string(view.inUse.cpu.value()) + "/" + std::to_string(view.capacity.cpu.value())
            + " memory_mb=" + std::to_string(view.inUse.memory.value()) + "/" + std::to_string(view.capacity.memory.value());
        for (const auto& victim : placement::chooseOvercommitVictims(view, batch))
            evict(control, victim, EndReason::Overcommit, figures);
    }

    placement::WorkerReport makeReport(const Control& control, const Entries& running, const placement::ClassLoads& loadsThen)
    {
        placement::WorkerReport report;
        report.measuredAt = control.measuredAt();
        report.slowdowns = slowdownsOf(control, running);
        report.loadsThen = loadsThen;
        report.canThrottle = control.worker.canThrottle;
        for (const auto& task : runningBatch(control.source, control.vm)) {
            const auto entry = std::ranges::find_if(running, [&](const auto* it) { return keyOf(*it).task == task.task; });
            if (entry == running.end() || isToBeStopped(control, **entry))
                continue;
            report.batch.push_back({ task.task, (*entry)->class_name, control.worker.shares.at(keyOf(**entry)).wanted, task.workAtRisk });
        }
        return report;
    }

    // "service=NAME slowdown=1.53" of the service that suffers most.
    std::string worstFigures(const placement::WorkerReport& report)
    {
        const auto worst = std::ranges::max_element(report.slowdowns, {}, [](const auto& it) { return it.second; });
        if (worst == report.slowdowns.end())
            return "";
        return " service=" + worst->first + " slowdown_per_mille=" + std::to_string(std::lround(worst->second * 1000));
    }

    void setShare(Control& control, const placement::ControlAction& action, const std::string& figures)
    {
        const auto share = std::ranges::find(control.worker.shares, action.task, [](const auto& it) { return it.first.task; });
        if (share == control.worker.shares.end())
            return;
        const bool isThrottle = action.kind == ControlKind::Throttle;
        control.actions.push_back({ share->first, isThrottle ? "throttle" : "release", isThrottle ? "Interference" : "ServicesUndisturbed",
            "worker=" + control.vm.value() + " share_per_mille=" + std::to_string(share->second.wanted) + "->"
                + std::to_string(action.sharePerMille) + figures });
        share->second.wanted = action.sharePerMille;
    }

    // A measurement says nothing about shares that the worker has not confirmed yet.
    bool hasUnsettledShares(const WorkerMemory& worker)
    {
        return worker.canThrottle
            && std::ranges::any_of(worker.shares, [](const auto& it) { return it.second.confirmed != it.second.wanted; });
    }

    void controlInterference(Control& control, const Entries& running)
    {
        const auto* loadsThen = placement::presentAt(control.worker.presence, control.measuredAt());
        if (!loadsThen)
            return;
        const auto report = makeReport(control, running, *loadsThen);
        for (const auto& [service, slowdown] : report.slowdowns) {
            const placement::SlowdownReport measured { service, slowdown, control.answer.usageAge };
            placement::learn(control.learned.interference, control.worker.presence, measured, control.source.now);
        }
        if (hasUnsettledShares(control.worker))
            return;
        const auto& policy = control.source.config.policy;
        placement::refill(control.memory.evictionBudget, policy, control.source.now);
        const auto figures = worstFigures(report);
        for (const auto& action : placement::decide(control.worker.controller, control.memory.evictionBudget, report,
                 control.learned.interference, policy, control.source.now)) {
            if (action.kind == ControlKind::CheckpointAndEvict)
                evict(control, action.task, EndReason::Interference, figures);
            else
                setShare(control, action, figures);
        }
    }

} // namespace

std::vector<PolicyAction> controlWorker(const ShardViewSource& source, const VmId& vm, const SyncAnswer& answer, ShardMemory& memory,
    WorkerMemory& worker, LearnedModels& learned)
{
    Control control { source, vm, answer, memory, worker, learned, {} };
    const auto running = runningEntries(control);
    updateShares(control, running);
    placement::notePresence(worker.presence, source.now, loadsOf(control, running));
    relieveOvercommit(control, running);
    controlInterference(control, running);
    return std::move(control.actions);
}

} // namespace kingcuploom
