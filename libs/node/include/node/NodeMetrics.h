#pragma once

#include "base/Clock.h"

#include <memory>
#include <string>

namespace kingcuploom::node {

// Counters and latency histograms of a node. Thread-safe.
class NodeMetrics {
public:
    NodeMetrics();
    ~NodeMetrics();

    // A decision of the scheduler.
    void countDecision(const std::string& event, const std::string& reason);
    // Answers to callers, by method and status.
    void observeRequest(const std::string& method, const std::string& status, Milliseconds took);
    void observeCommit(const std::string& outcome, Milliseconds took);
    // From the leader's first sight of a job to its first confirmed start.
    void observeFirstStart(Milliseconds);
    // From the acceptance of a job to its end.
    void observeJob(const std::string& state, Milliseconds);
    void observeTakeover(Milliseconds);
    void setLeading(bool);

    // Text format of Prometheus.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom::node
