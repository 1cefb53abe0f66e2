#include "LedgerIndex.h"

namespace kingcuploom {

LedgerIndex::LedgerIndex(const ShardRecords& records)
    : m_records(records)
{
}

void LedgerIndex::update()
{
    for (auto& [id, record] : m_records.all()) {
        auto& shard = m_shards[id];
        if (shard.record == record)
            continue;
        shard.entries.clear();
        for (const auto& entry : record->entries)
            shard.entries.emplace(ledger::keyOf(*entry), entry.get());
        shard.record = std::move(record);
    }
}

const schema::LedgerEntryT* LedgerIndex::find(const ShardId& id, const ledger::AttemptKey& key) const
{
    const auto shard = m_shards.find(id);
    if (shard == m_shards.end())
        return nullptr;
    const auto entry = shard->second.entries.find(key);
    return entry == shard->second.entries.end() ? nullptr : entry->second;
}

} // namespace kingcuploom
