#include "UsageLearning.h"

#include "ledger/TaskStates.h"

#include <algorithm>

namespace kingcuploom {

using ledger::keyOf;

namespace {

    // A task that has just started does not use yet what it will.
    constexpr std::chrono::seconds observationTime { 5 };

    void learnSize(ObservedUse& use, LearnedModels& learned)
    {
        if (use.isLearned)
            return;
        use.isLearned = true;
        placement::learn(learned.corrections[use.className], placement::TaskObservation { use.declared, use.largest, {}, {} });
    }

    std::map<TaskId, const schema::LedgerEntryT*> tasksOn(const schema::ShardRecordT& record, const VmId& vm)
    {
        std::map<TaskId, const schema::LedgerEntryT*> tasks;
        for (const auto& entry : record.entries) {
            if (entry->worker == vm.value() && ledger::holdsCapacity(entry->state))
                tasks.emplace(keyOf(*entry).task, entry.get());
        }
        return tasks;
    }

} // namespace

void takeUsage(const schema::ShardRecordT& record, const VmId& vm, const SyncAnswer& answer, ShardMemory& memory, LearnedModels& learned,
    MonotonicTime now)
{
    const auto tasks = tasksOn(record, vm);
    for (const auto& usage : answer.usage) {
        const auto task = tasks.find(usage.task);
        if (task == tasks.end())
            continue;
        const auto* entry = task->second;
        const auto [it, isNew] = memory.usage.try_emplace(usage.task);
        auto& use = it->second;
        if (isNew)
            use = { entry->class_name, ledger::demandOf(*entry), usage.observed, usage.observed, now, false };
        use.latest = usage.observed;
        use.largest = largerOf(use.largest, usage.observed);
        if (now - use.firstReportAt >= observationTime)
            learnSize(use, learned);
    }
}

void dropUsageOfEnded(const schema::ShardRecordT& record, ShardMemory& memory, LearnedModels& learned)
{
    std::set<TaskId> running;
    std::set<TaskId> evicted;
    for (const auto& entry : record.entries) {
        if (ledger::holdsCapacity(entry->state))
            running.insert(keyOf(*entry).task);
        else if (entry->state == schema::TaskState::Evicted)
            evicted.insert(keyOf(*entry).task);
    }
    for (auto it = memory.usage.begin(); it != memory.usage.end();) {
        if (running.contains(it->first)) {
            ++it;
            continue;
        }
        learnSize(it->second, learned);
        if (evicted.contains(it->first))
            learned.evictedSizes[it->first] = it->second.largest;
        it = memory.usage.erase(it);
    }
}

} // namespace kingcuploom
