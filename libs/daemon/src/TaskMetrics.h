#pragma once

#include "schema/generated/records_generated.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace kingcuploom {

// Counters of the task side. Thread-safe.
class TaskMetrics {
public:
    explicit TaskMetrics(prometheus::Registry&);

    // Ends recorded in the ledgers.
    void countEnd(schema::TaskState, schema::EndReason);

    // Actions of the policy: throttle, release, evict, quarantine_worker, fail_task.
    void countPolicyAction(const std::string& action, const std::string& reason);

    prometheus::Counter& starts;
    prometheus::Counter& startRefusals;
    prometheus::Counter& gatedStarts;
    prometheus::Counter& commits;
    prometheus::Counter& failedCommits;
    prometheus::Counter& jobWrites;
    prometheus::Counter& failedJobWrites;
    prometheus::Counter& failedSyncs;
    prometheus::Counter& lateFinishes;
    prometheus::Counter& orphanStops;

private:
    prometheus::Family<prometheus::Counter>& m_ends;
    prometheus::Family<prometheus::Counter>& m_policyActions;
};

} // namespace kingcuploom
