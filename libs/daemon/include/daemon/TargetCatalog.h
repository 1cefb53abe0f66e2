#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace kingcuploom {

// A process on a worker VM that answers requests of one service.
struct ExecutorTarget {
    ExecutorId id;
    ServiceName service;
    // Base URL.
    std::string url;
    int slots = 0;
    int connections = 0;
};

// A worker as the platform lists it.
struct Vm {
    VmId id;
    FailureDomain domain;
    Rack rack;
    ShardId shard;
    bool leaving = false;
    // Base URL of the worker's task interface.
    std::string workerUrl;
    CpuMillis cpu;
    MemoryMb memory;
    Accelerators accelerators;
    std::vector<ExecutorTarget> executors;
};

// One answer of the platform's VM list. Immutable.
struct TargetSnapshot {
    std::map<VmId, Vm> vms;
    std::map<ShardId, std::vector<VmId>> shards;
    // Ids that were listed before and are absent from two successive answers.
    std::set<VmId> goneVms;
    std::set<DaemonId> goneDaemons;
    MonotonicTime readAt {};
};

// Holder of the last VM list. Thread-safe.
class TargetCatalog {
public:
    std::shared_ptr<const TargetSnapshot> snapshot() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_snapshot;
    }

    void replace(std::shared_ptr<const TargetSnapshot> snapshot)
    {
        const std::scoped_lock lock(m_mutex);
        m_snapshot = std::move(snapshot);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const TargetSnapshot> m_snapshot = std::make_shared<TargetSnapshot>();
};

} // namespace kingcuploom
