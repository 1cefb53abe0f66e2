#include "ShardView.h"

#include "FailurePolicy.h"

#include "ledger/TaskStates.h"
#include "schema/Guards.h"

#include <algorithm>

namespace kingcuploom {

using ledger::holdsCapacity;
using ledger::keyOf;

namespace {

    // Bounds the time of a placement in a large shard.
    constexpr std::size_t maxScoredWorkers = 64;

    // The VM of the shard with the most processors among those that hold the declared size.
    std::optional<ResourceAmounts> largestFitting(const ShardViewSource& source, const ResourceAmounts& declared)
    {
        std::optional<ResourceAmounts> largest;
        const auto listed = source.targets.shards.find(source.shard);
        if (listed == source.targets.shards.end())
            return largest;
        for (const auto& id : listed->second) {
            const auto& vm = source.targets.vms.at(id);
            const ResourceAmounts capacity { vm.cpu, vm.memory, vm.accelerators };
            if (fits(declared, capacity) && (!largest || capacity.cpu > largest->cpu))
                largest = capacity;
        }
        return largest;
    }

    // A learned correction must not make a task that fits an empty VM impossible.
    ResourceAmounts limitedTo(const ResourceAmounts& amounts, const ResourceAmounts& most)
    {
        return { std::min(amounts.cpu, most.cpu), std::min(amounts.memory, most.memory),
            std::min(amounts.accelerators, most.accelerators) };
    }

    ResourceAmounts sizeBeforeReport(const ShardViewSource& source, const schema::LedgerEntryT& entry)
    {
        const auto declared = ledger::demandOf(entry);
        const auto evicted = source.learned.evictedSizes.find(keyOf(entry).task);
        const auto observed = evicted == source.learned.evictedSizes.end() ? ResourceAmounts() : evicted->second;
        const auto reserve = placement::demandToReserve(declared, observed, correctionOf(source.learned, entry.class_name));
        if (reserve == declared)
            return declared;
        const auto largest = largestFitting(source, declared);
        return largest ? limitedTo(reserve, *largest) : reserve;
    }

    placement::PlacementTask makeTask(const schema::LedgerEntryT& entry, const ResourceAmounts& demand)
    {
        return { keyOf(entry).task, TeamName(entry.team), entry.class_name, entry.kind, demand };
    }

    placement::WorkerView makeWorker(const ShardViewSource& source, const Vm& vm)
    {
        const bool skipsLeaving = schema::isGuardOn(source.settings, schema::Guard::LeavingTargets);
        placement::WorkerView worker;
        worker.vm = vm.id;
        worker.domain = vm.domain;
        worker.rack = vm.rack;
        worker.capacity = { vm.cpu, vm.memory, vm.accelerators };
        worker.leaving = vm.leaving && skipsLeaving;
        if (const auto it = source.memory.workers.find(vm.id); it != source.memory.workers.end()) {
            worker.isSilent = it->second.contact.failedCalls > 0;
            worker.quarantinedUntil = it->second.quarantinedUntil;
        }
        return worker;
    }

    void addPlaced(placement::PlacementView& view, const ShardViewSource& source, schema::JobKind kind)
    {
        std::map<VmId, std::size_t> indices;
        for (std::size_t i = 0; i < view.workers.size(); ++i)
            indices.emplace(view.workers[i].vm, i);
        for (const auto& entry : source.record.entries) {
            const auto worker = indices.find(VmId(entry->worker));
            if (entry->kind != kind || !holdsCapacity(entry->state) || worker == indices.end())
                continue;
            const auto use = useOf(source, *entry);
            placement::addTask(view, worker->second, makeTask(*entry, use), use);
        }
    }

    // A throttled task disturbs its worker's services only with its share.
    void applyShares(placement::PlacementView& view, const ShardViewSource& source)
    {
        for (const auto& entry : source.record.entries) {
            const auto memory = source.memory.workers.find(VmId(entry->worker));
            if (memory == source.memory.workers.end())
                continue;
            const auto share = memory->second.shares.find(keyOf(*entry));
            const auto worker = std::ranges::find(view.workers, VmId(entry->worker), &placement::WorkerView::vm);
            if (share == memory->second.shares.end() || share->second.wanted == fullShare || worker == view.workers.end())
                continue;
            worker->batchLoads[entry->class_name] -= (fullShare - share->second.wanted) / double(fullShare);
            for (auto& [service, slowdown] : worker->services)
                slowdown = placement::logSlowdownOf(*view.interference, service, worker->batchLoads);
        }
    }

} // namespace

ResourceAmounts useOf(const ShardViewSource& source, const schema::LedgerEntryT& entry)
{
    const auto it = source.memory.usage.find(keyOf(entry).task);
    return it == source.memory.usage.end() ? sizeBeforeReport(source, entry) : largerOf(ledger::demandOf(entry), it->second.latest);
}

placement::PlacementTask taskOf(const ShardViewSource& source, const schema::LedgerEntryT& entry)
{
    return makeTask(entry, sizeBeforeReport(source, entry));
}

// The worker checkpoints at a stop, so progress since then counts little; the declared run time is the upper bound that is known here.
std::vector<placement::RunningTask> runningBatch(const ShardViewSource& source, const std::optional<VmId>& vm)
{
    std::vector<placement::RunningTask> tasks;
    for (const auto& entry : source.record.entries) {
        const bool isElsewhere = vm && entry->worker != vm->value();
        if (isElsewhere || entry->state != schema::TaskState::Running || entry->kind != schema::JobKind::Batch)
            continue;
        const auto checkpoint = source.memory.checkpoints.find(keyOf(*entry));
        const auto saved = checkpoint == source.memory.checkpoints.end() ? entry->checkpoint : checkpoint->second;
        const Milliseconds atRisk(entry->work_ms > saved ? static_cast<std::int64_t>(entry->work_ms - saved) : 0);
        tasks.push_back({ keyOf(*entry).task, TeamName(entry->team), entry->kind, VmId(entry->worker), useOf(source, *entry), atRisk });
    }
    return tasks;
}

placement::PlacementView makeView(const ShardViewSource& source)
{
    placement::PlacementView view;
    view.policy = source.config.policy;
    view.maxScored = maxScoredWorkers;
    view.interference = &source.learned.interference;
    const auto listed = source.targets.shards.find(source.shard);
    if (listed == source.targets.shards.end())
        return view;
    const auto domain = failureDomainOf(source.shard);
    if (source.config.isOutOfService(domain) && schema::isGuardOn(source.settings, schema::Guard::StartGate))
        view.outOfService.insert(domain);
    for (const auto& id : listed->second)
        view.workers.push_back(makeWorker(source, source.targets.vms.at(id)));
    if (!schema::isGuardOn(source.settings, schema::Guard::ResourceLimit))
        return view;
    // Batch tasks count against the services of their worker, so these come first.
    addPlaced(view, source, schema::JobKind::Standing);
    addPlaced(view, source, schema::JobKind::Batch);
    applyShares(view, source);
    applyStandings(view, source);
    return view;
}

} // namespace kingcuploom
