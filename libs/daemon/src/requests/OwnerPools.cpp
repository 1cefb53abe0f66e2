#include "requests/OwnerPools.h"

#include "requests/ShardIndex.h"
#include "schema/Guards.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace kingcuploom::requests {

namespace {

    // With the guard of the slot limit off, an executor gets this many times its slots.
    constexpr int unguardedLimitFactor = 4;
    // Far more than can be under way at once; a frame repeated later than this many requests is not expected of TCP.
    constexpr std::size_t maxRecentKeys = 16384;

    routing::CallId idOf(const routing::Action& action)
    {
        return std::visit(
            [](const auto& it) {
                if constexpr (requires { it.id; })
                    return it.id;
                else
                    return routing::CallId();
            },
            action);
    }

    int predecessorMax(const routing::TargetLimits& limits, Portion portion, bool hadReserveOnly, int reserve)
    {
        // A predecessor that shared the limit had shrunk to the larger portion before the claim.
        const bool hasShared = portion == Portion::Reserve || hadReserveOnly;
        return hasShared ? limits.limit - reserve : limits.limit;
    }

} // namespace

int allowedSlots(Portion portion, const ExecutorTarget& executor, int primaryPerMille)
{
    const int slots = portionOf(portion, executor.slots, primaryPerMille);
    const int connections = portionOf(portion, executor.connections, primaryPerMille);
    return std::max(0, std::min(slots, connections));
}

OwnerPools::OwnerPools(const schema::SettingsT& settings)
    : m_settings(settings)
{
}

OwnerPools::PoolEntry& OwnerPools::entryOf(const ServiceName& service)
{
    const auto [it, isNew] = m_pools.try_emplace(service);
    if (isNew) {
        auto& pool = it->second.pool;
        pool.limits.queueLimit = m_settings.queue_limit_per_service;
        pool.limits.maxEjectedPerMille = m_settings.max_ejected_per_mille;
        pool.retryBudget.perMille = m_settings.retry_budget_per_mille;
    }
    return it->second;
}

std::vector<Step> OwnerPools::apply(PoolEntry& entry, const routing::Event& event, MonotonicTime now)
{
    std::vector<Step> steps;
    for (const auto& action : routing::decide(entry.pool, event, now)) {
        Step step { {}, action, {} };
        const auto it = entry.calls.find(idOf(action));
        if (it != entry.calls.end())
            step.call = it->second;
        if (const auto* dispatch = std::get_if<routing::Dispatch>(&action))
            step.target = entry.targets[dispatch->executor];
        else if (it != entry.calls.end())
            entry.calls.erase(it);
        steps.push_back(std::move(step));
    }
    return steps;
}

std::vector<Step> OwnerPools::admit(const CallPtr& call, int spareElsewhere, MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    auto& entry = entryOf(call->service);
    m_lastId = m_lastId.next();
    entry.calls[m_lastId] = call;
    const routing::QueuedCall queued { m_lastId, call->team, now, call->deadline, call->isIdempotent, {} };
    return apply(entry, routing::Arrival { queued, call->relays, spareElsewhere }, now);
}

std::vector<Step> OwnerPools::complete(const CallPtr& call, routing::CallId id, routing::CallResult result, MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    return apply(entryOf(call->service), routing::Completion { id, result, !call->isAnswered }, now);
}

CallPtr OwnerPools::abandon(PoolEntry& entry, routing::CallId id, MonotonicTime now)
{
    if (entry.pool.running.contains(id))
        return nullptr;
    apply(entry, routing::Abandonment { id }, now);
    auto call = entry.calls[id];
    entry.calls.erase(id);
    return call;
}

CallPtr OwnerPools::find(const CallKey& key) const
{
    const std::scoped_lock lock(m_mutex);
    for (const auto& [service, entry] : m_pools) {
        const auto it = std::ranges::find_if(entry.calls, [&](const auto& item) { return item.second->origin == key; });
        if (it != entry.calls.end())
            return it->second;
    }
    return nullptr;
}

std::vector<Step> OwnerPools::markOverdue(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Step> steps;
    for (auto& [service, entry] : m_pools) {
        std::vector<routing::CallId> late;
        for (const auto& [id, running] : entry.pool.running) {
            if (running.call.deadline <= now && !running.isOverdue)
                late.push_back(id);
        }
        for (const auto id : late)
            std::ranges::move(apply(entry, routing::Overdue { id }, now), std::back_inserter(steps));
    }
    return steps;
}

std::vector<CallPtr> OwnerPools::overdueCalls(MonotonicTime now) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<CallPtr> calls;
    for (const auto& [service, entry] : m_pools) {
        for (const auto& [id, running] : entry.pool.running) {
            const auto it = entry.calls.find(id);
            if (running.call.deadline <= now && it != entry.calls.end())
                calls.push_back(it->second);
        }
    }
    return calls;
}

CallPtr OwnerPools::abandon(const CallPtr& call, MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    auto& entry = entryOf(call->service);
    const auto it = std::ranges::find_if(entry.calls, [&](const auto& item) { return item.second == call; });
    return it == entry.calls.end() ? nullptr : abandon(entry, it->first, now);
}

void OwnerPools::noteTakeovers(const std::vector<OwnedShard>& owned)
{
    for (const auto& it : owned) {
        auto& takeover = m_takeovers[it.shard];
        if (takeover.epoch != it.epoch)
            takeover = { it.epoch, false };
        if (it.portion == Portion::Reserve)
            takeover.hadReserveOnly = true;
    }
}

routing::TargetLimits OwnerPools::limitsOf(
    const OwnedShard& owned, const Vm& vm, const ExecutorTarget& executor, const ConfigSnapshot& config) const
{
    const int primary = int(m_settings.primary_share_per_mille);
    routing::TargetLimits limits;
    limits.executor = executor.id;
    limits.shard = vm.shard;
    limits.limit = slotLimit(executor);
    limits.allowed = owned.isDraining ? 0 : allowedSlots(owned.portion, executor, primary);
    if (!schema::isGuardOn(m_settings, schema::Guard::SlotLimit)) {
        limits.limit *= unguardedLimitFactor;
        limits.allowed = limits.limit;
    }
    const bool isLeavingIgnored = !schema::isGuardOn(m_settings, schema::Guard::LeavingTargets);
    limits.isLeaving = (vm.leaving && !isLeavingIgnored) || config.isOutOfService(vm.domain);
    limits.predecessorUntil = owned.inFlightUntil;
    const auto takeover = m_takeovers.find(owned.shard);
    const bool hadReserveOnly = takeover != m_takeovers.end() && takeover->second.hadReserveOnly;
    limits.predecessorMax = predecessorMax(limits, owned.portion, hadReserveOnly, allowedSlots(Portion::Reserve, executor, primary));
    return limits;
}

std::vector<Step> OwnerPools::refresh(const std::vector<OwnedShard>& ownedShards, const TargetSnapshot& targets,
    const ConfigSnapshot& config, const SpareElsewhere& spareElsewhere, MonotonicTime now)
{
    std::map<ServiceName, routing::TargetsChange> changes;
    std::map<ServiceName, int> spare;
    {
        const std::scoped_lock lock(m_mutex);
        noteTakeovers(ownedShards);
        m_owned.clear();
        std::ranges::for_each(ownedShards, [&](const auto& it) { m_owned[it.shard] = it; });
        std::ranges::for_each(m_pools, [&](const auto& it) { changes[it.first]; });
    }
    std::map<ServiceName, std::map<ExecutorId, DispatchTarget>> places;
    for (const auto& owned : ownedShards) {
        const auto vms = targets.shards.find(owned.shard);
        if (vms == targets.shards.end())
            continue;
        for (const auto& id : vms->second) {
            const auto& vm = targets.vms.at(id);
            for (const auto& executor : vm.executors) {
                const auto limits = limitsOf(owned, vm, executor, config);
                changes[executor.service].targets.push_back(limits);
                places[executor.service][executor.id]
                    = { executor.id, vm.id, vm.domain, vm.shard, owned.epoch, executor.url, slotLimit(executor), limits.allowed };
            }
        }
    }
    for (auto& [service, change] : changes) {
        change.remoteSpareSlots = spareElsewhere(service);
        for (const auto& [team, spec] : config.teams)
            change.weights[team] = spec.weight;
    }
    const std::scoped_lock lock(m_mutex);
    noteConnectionLimits(places);
    std::vector<Step> steps;
    for (auto& [service, change] : changes) {
        auto& entry = entryOf(service);
        const auto spec = config.services.find(service);
        if (spec != config.services.end())
            entry.pool.limits.queueLimit = std::min(m_settings.queue_limit_per_service, spec->second.max_in_queue);
        entry.targets = std::move(places[service]);
        std::ranges::move(apply(entry, change, now), std::back_inserter(steps));
    }
    return steps;
}

std::vector<Step> OwnerPools::tick(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Step> steps;
    for (auto& [service, entry] : m_pools)
        std::ranges::move(apply(entry, routing::Tick(), now), std::back_inserter(steps));
    return steps;
}

std::vector<Step> OwnerPools::observeStatus(const ServiceName& service, const ExecutorId& executor, int active, MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    return apply(entryOf(service), routing::StatusReport { executor, active }, now);
}

bool OwnerPools::isFirst(const CallKey& key)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_recentKeys.insert(key).second)
        return false;
    m_recentOrder.push_back(key);
    if (m_recentOrder.size() > maxRecentKeys) {
        m_recentKeys.erase(m_recentOrder.front());
        m_recentOrder.pop_front();
    }
    return true;
}

int OwnerPools::busy(const ServiceName& service, const ExecutorId& executor) const
{
    const std::scoped_lock lock(m_mutex);
    const auto entry = m_pools.find(service);
    if (entry == m_pools.end())
        return 0;
    const auto slots = entry->second.pool.executors.find(executor);
    return slots == entry->second.pool.executors.end() ? 0 : slots->second.busy;
}

int OwnerPools::busyIn(const ShardId& shard) const
{
    const std::scoped_lock lock(m_mutex);
    int sum = 0;
    for (const auto& [service, entry] : m_pools) {
        for (const auto& [id, slots] : entry.pool.executors)
            sum += slots.limits.shard == shard ? slots.busy : 0;
    }
    return sum;
}

std::size_t OwnerPools::callCount() const
{
    const std::scoped_lock lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [service, entry] : m_pools)
        count += entry.calls.size();
    return count;
}

void OwnerPools::appendFigures(std::vector<schema::LoadFigureT>& figures, const ServiceName& service, const PoolEntry& entry) const
{
    const auto isServed = [&](const ShardId& shard) {
        return std::ranges::any_of(entry.pool.executors, [&](const auto& it) { return it.second.limits.shard == shard; });
    };
    for (const auto& [shard, owned] : m_owned) {
        if (!isServed(shard))
            continue;
        auto figure = routing::computeLoadFigure(entry.pool, shard);
        figure.service = service.value();
        figure.epoch = owned.epoch.value();
        figures.push_back(std::move(figure));
    }
}

std::vector<schema::LoadFigureT> OwnerPools::loadFigures() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<schema::LoadFigureT> figures;
    for (const auto& [service, entry] : m_pools)
        appendFigures(figures, service, entry);
    return figures;
}

std::vector<schema::LoadFigureT> OwnerPools::loadFigures(const ServiceName& service) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<schema::LoadFigureT> figures;
    const auto entry = m_pools.find(service);
    if (entry != m_pools.end())
        appendFigures(figures, service, entry->second);
    return figures;
}

std::vector<std::pair<ServiceName, DispatchTarget>> OwnerPools::beginQueries()
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::pair<ServiceName, DispatchTarget>> result;
    for (auto& [service, entry] : m_pools) {
        for (auto& [id, slots] : entry.pool.executors) {
            const auto target = entry.targets.find(id);
            const bool isWanted = slots.predecessorBusy > 0 && !slots.isStatusPending && target != entry.targets.end();
            if (!isWanted || slots.busy >= slots.limits.allowed)
                continue;
            slots.isStatusPending = true;
            result.emplace_back(service, target->second);
        }
    }
    return result;
}

void OwnerPools::endQuery(const ServiceName& service, const ExecutorId& executor)
{
    const std::scoped_lock lock(m_mutex);
    auto& executors = entryOf(service).pool.executors;
    const auto it = executors.find(executor);
    if (it != executors.end())
        it->second.isStatusPending = false;
}

void OwnerPools::noteConnectionLimits(const std::map<ServiceName, std::map<ExecutorId, DispatchTarget>>& places)
{
    std::map<std::string, int> limits;
    for (const auto& [service, targets] : places) {
        for (const auto& [id, target] : targets)
            limits[target.url] = target.allowed;
    }
    for (const auto& [url, before] : m_connectionLimits) {
        const auto it = limits.find(url);
        const int now = it == limits.end() ? 0 : it->second;
        if (now < before)
            m_loweredLimits[url] = now;
    }
    m_connectionLimits = std::move(limits);
}

std::map<std::string, int> OwnerPools::takeLoweredLimits()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_loweredLimits, {});
}

} // namespace kingcuploom::requests
