#include "ledger/AttemptKey.h"

namespace kingcuploom::ledger {

AttemptKey keyOf(const schema::LedgerEntryT& entry) { return { { JobName(entry.job), entry.index }, Attempt(entry.attempt) }; }

ResourceAmounts demandOf(const schema::LedgerEntryT& entry)
{
    return { CpuMillis(entry.cpu_millis), MemoryMb(entry.memory_mb), Accelerators(entry.accelerators) };
}

ResourceAmounts demandOf(const schema::JobSpecT& spec)
{
    return { CpuMillis(spec.cpu_millis), MemoryMb(spec.memory_mb), Accelerators(spec.accelerators) };
}

const schema::LedgerEntryT* findEntry(const schema::ShardRecordT& record, const AttemptKey& key)
{
    const auto it = std::ranges::find_if(record.entries, [&](const auto& entry) {
        return entry->index == key.task.index && entry->attempt == key.attempt.value() && entry->job == key.task.job.value();
    });
    return it == record.entries.end() ? nullptr : it->get();
}

} // namespace kingcuploom::ledger
