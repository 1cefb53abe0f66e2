#pragma once

#include "daemon/ConfigView.h"
#include "daemon/TargetCatalog.h"
#include "routing/ShardChoice.h"

#include <mutex>

namespace kingcuploom::requests {

// Shards with executors of each service, rebuilt when the VM list or the configuration changes. Thread-safe.
class ShardIndex {
public:
    struct Entry {
        ShardId shard;
        FailureDomain domain;
        int slots = 0;
        bool isOutOfService = false;
    };
    using Table = std::map<ServiceName, std::vector<Entry>>;

    std::shared_ptr<const Table> table(
        const std::shared_ptr<const TargetSnapshot>& targets, const std::shared_ptr<const ConfigSnapshot>& config);

private:
    std::mutex m_mutex;
    std::shared_ptr<const TargetSnapshot> m_targets;
    std::shared_ptr<const ConfigSnapshot> m_config;
    std::shared_ptr<const Table> m_table;
};

// Slots of an executor that may be used; each slot takes one connection.
int slotLimit(const ExecutorTarget&);

} // namespace kingcuploom::requests
