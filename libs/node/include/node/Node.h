#pragma once

#include "node/Coordinator.h"
#include "node/JobService.h"
#include "node/Leadership.h"
#include "node/OperatorView.h"

#include <atomic>

namespace kingcuploom::node {

struct NodeSettings {
    LeadershipSettings leadership;
    scheduler::Parameters scheduler;
};

// One node of the system: takes jobs in, and schedules while it leads. The event loop's thread runs everything but the callers of
// JobService.
class Node {
public:
    Node(boost::asio::io_context&, const PlatformServices&, Formats, NodeSettings);

    // On the event loop's thread, or before it runs.
    void start();
    // Reports not ready from now on and gives up the leadership. Thread-safe.
    void beginShutdown();

    // Thread-safe. Ready: has a configuration, has heard of the store lately, is not shutting down.
    bool isReady() const;
    bool isShuttingDown() const { return m_isShuttingDown; }

    const OperatorView& operators() const { return m_operators; }
    JobService& jobs() { return m_jobs; }

private:
    void startLeading(Revision term);
    void stopLeading();

    boost::asio::io_context& m_loop;
    PlatformServices m_services;
    Formats m_formats;
    NodeSettings m_settings;
    OperatorView m_operators;
    Leadership m_leadership;
    JobService m_jobs;
    std::shared_ptr<Coordinator> m_coordinator;
    std::atomic<bool> m_isShuttingDown = false;
};

} // namespace kingcuploom::node
