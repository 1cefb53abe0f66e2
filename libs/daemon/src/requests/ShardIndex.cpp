#include "requests/ShardIndex.h"

#include <algorithm>

namespace kingcuploom::requests {

namespace {

    using SlotSums = std::map<std::pair<ServiceName, ShardId>, ShardIndex::Entry>;

    void addVm(SlotSums& sums, const Vm& vm, const ConfigSnapshot& config)
    {
        for (const auto& executor : vm.executors) {
            auto& entry = sums[{ executor.service, vm.shard }];
            entry.shard = vm.shard;
            entry.domain = vm.domain;
            entry.isOutOfService = config.isOutOfService(vm.domain);
            entry.slots += vm.leaving ? 0 : slotLimit(executor);
        }
    }

    std::shared_ptr<const ShardIndex::Table> build(const TargetSnapshot& targets, const ConfigSnapshot& config)
    {
        SlotSums sums;
        for (const auto& [id, vm] : targets.vms)
            addVm(sums, vm, config);
        auto table = std::make_shared<ShardIndex::Table>();
        for (const auto& [key, entry] : sums)
            (*table)[key.first].push_back(entry);
        return table;
    }

} // namespace

int slotLimit(const ExecutorTarget& executor) { return std::max(0, std::min(executor.slots, executor.connections)); }

std::shared_ptr<const ShardIndex::Table> ShardIndex::table(
    const std::shared_ptr<const TargetSnapshot>& targets, const std::shared_ptr<const ConfigSnapshot>& config)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_table || m_targets != targets || m_config != config) {
        m_table = build(*targets, *config);
        m_targets = targets;
        m_config = config;
    }
    return m_table;
}

} // namespace kingcuploom::requests
