#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace kingcuploom::node {

// How a job has ended for its caller: completed by its due time, later, or when the result was of no use any more.
enum class EndOutcome {
    OnTime,
    Late,
    Expired,
    Failed,
    Cancelled,
};

inline constexpr std::size_t endOutcomeCount = 5;

const char* toString(EndOutcome);

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
    // Time from the end of a job that was held until callers see it.
    void observeHeldJob(Milliseconds);
    void observeTakeover(Milliseconds);
    // Delay of the event loop's timers beyond their due time, which shows a leader that is short of CPU time.
    void observeLoopDelay(Milliseconds);
    void setIdleStandingTasks(std::size_t);
    // Markers of cancelled jobs that are not stored.
    void setUnstoredCancellations(std::size_t);
    // By queue and size of the job.
    void countJobEnd(const std::string& queue, const std::string& size, EndOutcome);
    // Adds time that jobs which were not on time have waited for the cause.
    void addWait(const std::string& queue, const std::string& size, const std::string& cause, Milliseconds);
    // Jobs that have not ended, with and without a started task.
    void setWaitingJobs(const std::string& queue, const std::string& size, std::uint64_t begun, std::uint64_t notBegun);
    void setLeading(bool);
    // Time since all changes of a watched prefix were known, while this node leads.
    void setWatchAge(const std::string& watch, Milliseconds);
    // Time for which this node has known of no leader before it took a term.
    void observeVacancy(Milliseconds);

    // Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom::node
