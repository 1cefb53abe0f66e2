#pragma once

#include "daemon/ShardRecords.h"
#include "ledger/AttemptKey.h"

#include <unordered_map>

namespace kingcuploom {

// Ledger entries of all shards by attempt. A shard is indexed anew only when its record has changed, so that a pass over many jobs does not
// pay for it again. Used by one thread.
class LedgerIndex {
public:
    explicit LedgerIndex(const ShardRecords&);

    // Takes in the changed records; entries found before are valid until then.
    void update();

    // Entry of the attempt, null when the shard's ledger has none.
    const schema::LedgerEntryT* find(const ShardId&, const ledger::AttemptKey&) const;

private:
    struct KeyHash {
        std::size_t operator()(const ledger::AttemptKey& key) const { return std::hash<TaskId>()(key.task) * 31 + key.attempt.value(); }
    };

    struct Shard {
        ShardRecords::Record record;
        std::unordered_map<ledger::AttemptKey, const schema::LedgerEntryT*, KeyHash> entries;
    };

    const ShardRecords& m_records;
    std::map<ShardId, Shard> m_shards;
};

} // namespace kingcuploom
