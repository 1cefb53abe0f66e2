#pragma once

#include "base/Clock.h"
#include "ledger/JobAssignment.h"
#include "schema/generated/link_generated.h"

#include <map>
#include <mutex>
#include <vector>

namespace kingcuploom {

// Newest capacity figure of each shard. Thread-safe.
class CapacityTable {
public:
    // An older epoch never replaces a newer one.
    void update(const std::vector<schema::CapacityFigureT>&, MonotonicTime now);

    // Shards whose figure is recent.
    std::vector<ledger::ShardCapacity> recent(MonotonicTime now) const;

private:
    struct Entry {
        schema::CapacityFigureT figure;
        MonotonicTime at;
    };

    mutable std::mutex m_mutex;
    std::map<ShardId, Entry> m_entries;
};

} // namespace kingcuploom
