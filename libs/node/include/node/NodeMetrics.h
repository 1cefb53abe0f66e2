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

    // Counts a scheduler decision.
    void countDecision(const std::string& event, const std::string& reason);
    // Time to respond to a caller, by method and status.
    void observeRequest(const std::string& method, const std::string& status, Milliseconds elapsed);
    void observeCommit(const std::string& outcome, Milliseconds elapsed);
    // Time from when the leader first sees a job to its first confirmed start.
    void observeFirstStart(Milliseconds);
    // Time from the acceptance of a job to its end.
    void observeJob(const std::string& state, Milliseconds);
    void observeTakeover(Milliseconds);
    // Delay of the event loop's timers beyond their due time, which shows a leader that is short of CPU time.
    void observeLoopDelay(Milliseconds);
    void setIdleStandingTasks(std::size_t);
    void setLeading(bool);

    // Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom::node
