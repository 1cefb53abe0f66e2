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

// One node of the system: accepts jobs, and runs the scheduler while it is the leader. Everything runs on the event loop's thread, except
// for the callers of JobService.
class Node {
public:
    Node(boost::asio::io_context&, const PlatformServices&, Formats, NodeSettings);

    // Must be called on the event loop's thread, or before the loop runs.
    void start();
    // Makes the node report not ready and resigns the leadership. Thread-safe.
    void beginShutdown();

    // A handler of the event loop has failed. A leader gives up its term, because its state may be incomplete; the next one starts from
    // the stored state. On the event loop's thread.
    void onHandlerFailure();

    // True if the node has a configuration, the store has responded recently, and the node is not shutting down. Thread-safe.
    bool isReady() const;
    bool isShuttingDown() const { return m_isShuttingDown; }
    // Time for which a job that was cancelled before it was stored cannot be submitted.
    Milliseconds cancelRetention() const { return m_settings.scheduler.jobRetention; }

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
