#include "CapacityTable.h"

namespace kingcuploom {

namespace {

    // Many heartbeats; a shard whose owner is silent for longer gets no new tasks.
    constexpr Milliseconds maxFigureAge { 3000 };

    ledger::ShardCapacity capacityOf(const ShardId& shard, const schema::CapacityFigureT& figure)
    {
        const Accelerators accelerators(figure.free_accelerators);
        return { shard, { CpuMillis(figure.free_cpu_millis), MemoryMb(figure.free_memory_mb), accelerators },
            { CpuMillis(figure.largest_cpu_millis), MemoryMb(figure.largest_memory_mb), accelerators } };
    }

} // namespace

void CapacityTable::update(const std::vector<schema::CapacityFigureT>& figures, MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto& figure : figures) {
        auto& entry = m_entries[ShardId(figure.shard)];
        if (figure.epoch >= entry.figure.epoch)
            entry = { figure, now };
    }
}

std::vector<ledger::ShardCapacity> CapacityTable::recent(MonotonicTime now) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ledger::ShardCapacity> shards;
    for (const auto& [shard, entry] : m_entries) {
        if (now - entry.at < maxFigureAge)
            shards.push_back(capacityOf(shard, entry.figure));
    }
    return shards;
}

} // namespace kingcuploom
