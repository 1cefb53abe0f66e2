#pragma once

#include "daemon/AuditSink.h"
#include "daemon/ConfigView.h"
#include "daemon/OwnershipView.h"
#include "daemon/TargetCatalog.h"
#include "http/HttpClient.h"
#include "link/LinkHub.h"
#include "requests/DispatchThreads.h"
#include "requests/ForwardTable.h"
#include "requests/OwnerPools.h"
#include "requests/RefusalAudit.h"
#include "requests/RequestMetrics.h"
#include "requests/ShardIndex.h"
#include "requests/UnsentAnswers.h"
#include "routing/LoadTable.h"
#include "schema/generated/settings_generated.h"

namespace kingcuploom::requests {

// The other parts of the daemon that requests depend on.
struct Surroundings {
    const schema::SettingsT& settings;
    const Clock& clock;
    OwnershipView& ownership;
    ConfigView& config;
    TargetCatalog& catalog;
    link::LinkHub& hub;
    http::HttpClient& client;
    AuditSink& audit;
};

// Carries a call from its arrival to its single answer. Blocks only on its dispatch threads. Thread-safe.
class RequestRouter {
public:
    RequestRouter(const Surroundings&, prometheus::Registry&);

    // Sends the call to the owner of a shard, which may be this daemon.
    void route(const CallPtr&);

    // The caller has closed its connection: the call ends without an answer. One that waits is dropped, here or at its owner; one that
    // was sent to an executor keeps its slot until the executor answers and is not repeated.
    void abandon(const CallPtr&);

    // Messages from peers.
    void receiveForward(const link::Peer& from, const schema::ForwardT&);
    void receiveAnswer(const DaemonId& from, const schema::AnswerT&);
    void receiveAbandon(const schema::AbandonT&);
    void receiveLoads(const std::vector<std::unique_ptr<schema::LoadFigureT>>&);

    // Work of the maintenance thread: deadlines, lost owners, limits and status queries.
    void expire();
    void refreshTargets();
    void queryUncertainTargets();

    // The last resort when the deadline has passed without an answer.
    void giveUp(const CallPtr&);

    void setDraining() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }
    std::size_t inProgress() const { return m_pools.callCount() + m_forwards.size(); }
    std::vector<schema::LoadFigureT> loadFigures() const { return m_pools.loadFigures(); }

    // Executions in progress at the executors of the shard.
    int busyIn(const ShardId& shard) const { return m_pools.busyIn(shard); }
    RequestMetrics& metrics() { return m_metrics; }
    // Waits for the executions in progress, but not beyond their deadlines.
    void stop();

private:
    struct Choice {
        ShardId shard;
        // Empty when this daemon owns the shard.
        DaemonId owner;
    };

    bool isKnown(const ServiceName&) const;
    std::vector<routing::ShardCandidate> candidates(const ServiceName&, bool withOwn);
    std::optional<Choice> choose(const ServiceName&, bool withOwn);
    int spareElsewhere(const ServiceName&);
    void routeTo(const CallPtr&, bool withOwn);
    void admit(const CallPtr&);
    void sendAbandon(const ForwardedCall&);
    void expireForwards(MonotonicTime now);
    void expireExecutions(MonotonicTime now);
    std::optional<std::size_t> draw(const std::vector<routing::ShardCandidate>&);
    void countForward(const ServiceName&, const ShardId&);
    bool forward(const CallPtr&, const Choice&);
    void refuseUnroutable(const CallPtr&);
    void retryAfterLoss(const ForwardedCall&);

    void perform(const std::vector<Step>&);
    void execute(const Step&);
    void run(const Step&, routing::CallId);
    routing::CallResult attempt(const Step&);
    bool mayDispatch(const ServiceName&, const DispatchTarget&) const;
    routing::CallResult callTarget(const Step&);
    void refuse(const CallPtr&, const routing::Refuse&);
    void finish(const CallPtr&, schema::AnswerT&&);
    void reportEjection(const ServiceName&, const routing::Ejected&);
    void queryStatus(const ServiceName&, const DispatchTarget&);

    const Surroundings m_around;
    RequestMetrics m_metrics;
    RefusalAudit m_refusals;
    ShardIndex m_index;
    OwnerPools m_pools;
    ForwardTable m_forwards;
    UnsentAnswers m_unsent;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_isStopping = false;

    // Guards the three members below.
    std::mutex m_mutex;
    Random m_random;
    routing::LoadTable m_loads;
    routing::RetryBudget m_rerouteBudget;

    DispatchThreads m_threads;
};

} // namespace kingcuploom::requests
