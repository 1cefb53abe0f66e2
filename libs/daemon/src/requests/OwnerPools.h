#pragma once

#include "daemon/ConfigView.h"
#include "daemon/OwnershipView.h"
#include "daemon/TargetCatalog.h"
#include "requests/Call.h"
#include "routing/Admission.h"
#include "schema/generated/settings_generated.h"

#include <deque>
#include <mutex>
#include <set>

namespace kingcuploom::requests {

// Where to reach an executor, and under which ownership it was chosen.
struct DispatchTarget {
    ExecutorId executor;
    VmId vm;
    FailureDomain domain;
    ShardId shard;
    Epoch epoch;
    std::string url;
    int limit = 0;
    // Connections that the portion covers.
    int allowed = 0;
};

// One decision with the call that it is about; "target" is set for a dispatch.
struct Step {
    CallPtr call;
    routing::Action action;
    DispatchTarget target;
};

// Queues and slots of the owned shards: one pool per service. Applies the decisions of the routing package under one lock and leaves
// carrying them out to the caller. Thread-safe.
class OwnerPools {
public:
    using SpareElsewhere = std::function<int(const ServiceName&)>;

    explicit OwnerPools(const schema::SettingsT&);

    std::vector<Step> admit(const CallPtr&, int spareElsewhere, MonotonicTime now);
    // A call that is answered already is neither retried nor queued again.
    std::vector<Step> complete(const CallPtr&, routing::CallId, routing::CallResult, MonotonicTime now);

    // Removes a call that still waits. Empty when it is unknown or running.
    CallPtr abandon(const CallPtr&, MonotonicTime now);

    // The call that a peer forwarded with this key; nullptr when it is not here.
    CallPtr find(const CallKey&) const;

    // Counts the executions whose deadline has passed as failures of their executors, each once. Their slots stay in use.
    std::vector<Step> markOverdue(MonotonicTime now);
    // Calls in execution whose deadline has passed, answered or not.
    std::vector<CallPtr> overdueCalls(MonotonicTime now) const;

    // Takes over the current ownership, VM list and configuration.
    std::vector<Step> refresh(
        const std::vector<OwnedShard>&, const TargetSnapshot&, const ConfigSnapshot&, const SpareElsewhere&, MonotonicTime now);
    std::vector<Step> tick(MonotonicTime now);
    std::vector<Step> observeStatus(const ServiceName&, const ExecutorId&, int active, MonotonicTime now);

    // False when a forwarded request with this key came in before.
    bool isFirst(const CallKey&);

    int busy(const ServiceName&, const ExecutorId&) const;
    int busyIn(const ShardId&) const;
    std::size_t callCount() const;
    std::vector<schema::LoadFigureT> loadFigures() const;
    std::vector<schema::LoadFigureT> loadFigures(const ServiceName&) const;

    // Executors whose predecessor's requests may still be running and that have a connection left for a query of the status. The
    // connection counts as taken until endQuery().
    std::vector<std::pair<ServiceName, DispatchTarget>> beginQueries();
    void endQuery(const ServiceName&, const ExecutorId&);

    // New limits of connections by URL, of the executors whose limit has fallen since the last call; 0 for those of lost shards.
    std::map<std::string, int> takeLoweredLimits();

private:
    struct PoolEntry {
        routing::Pool pool;
        std::map<routing::CallId, CallPtr> calls;
        std::map<ExecutorId, DispatchTarget> targets;
    };
    struct Takeover {
        Epoch epoch;
        bool hadReserveOnly = false;
    };

    PoolEntry& entryOf(const ServiceName&);
    std::vector<Step> apply(PoolEntry&, const routing::Event&, MonotonicTime now);
    CallPtr abandon(PoolEntry&, routing::CallId, MonotonicTime now);
    routing::TargetLimits limitsOf(const OwnedShard&, const Vm&, const ExecutorTarget&, const ConfigSnapshot&) const;
    void noteTakeovers(const std::vector<OwnedShard>&);
    void noteConnectionLimits(const std::map<ServiceName, std::map<ExecutorId, DispatchTarget>>&);
    void appendFigures(std::vector<schema::LoadFigureT>&, const ServiceName&, const PoolEntry&) const;

    const schema::SettingsT& m_settings;
    mutable std::mutex m_mutex;
    routing::CallId m_lastId;
    std::map<ServiceName, PoolEntry> m_pools;
    std::map<ShardId, Takeover> m_takeovers;
    std::map<ShardId, OwnedShard> m_owned;
    std::map<std::string, int> m_connectionLimits;
    std::map<std::string, int> m_loweredLimits;
    std::set<CallKey> m_recentKeys;
    std::deque<CallKey> m_recentOrder;
};

// Slots of the executor that the portion covers.
int allowedSlots(Portion, const ExecutorTarget&, int primaryPerMille);

} // namespace kingcuploom::requests
