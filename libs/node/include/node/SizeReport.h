#pragma once

#include "node/NodeMetrics.h"
#include "scheduler/Model.h"

namespace kingcuploom::node {

// How the jobs of each queue and size fare under a leader: how many have ended and how, how many wait, and what those that were not on
// time have waited for.
class SizeReport {
public:
    SizeReport(NodeMetrics&, Revision term);

    void addEnded(const scheduler::Job&);
    // Updates the gauges and logs a line "job_sizes" for each queue and size that has changed. All counts are those of the term.
    void publish(const scheduler::State&);

private:
    struct Row {
        std::array<std::uint64_t, endOutcomeCount> ended {};
        // Jobs that have not ended, with and without a started task.
        std::uint64_t begun = 0;
        std::uint64_t notBegun = 0;
        // Of the jobs that did not end on time.
        std::array<Milliseconds, scheduler::waitCauseCount> waits {};
        Milliseconds untilKnown { 0 };
        std::uint64_t extraStarts = 0;

        auto operator<=>(const Row&) const = default;
    };
    using Key = std::pair<scheduler::QueueName, scheduler::SizeClass>;

    NodeMetrics& m_metrics;
    Revision m_term;
    std::map<Key, Row> m_rows;
    std::map<Key, Row> m_published;
};

} // namespace kingcuploom::node
