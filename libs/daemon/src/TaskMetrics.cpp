#include "TaskMetrics.h"

namespace kingcuploom {

namespace {

    prometheus::Counter& addCounter(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

TaskMetrics::TaskMetrics(prometheus::Registry& registry)
    : starts(addCounter(registry, "kingcuploom_task_starts_total", "Starts that a worker accepted"))
    , startRefusals(addCounter(registry, "kingcuploom_task_start_refusals_total", "Starts that a worker refused"))
    , gatedStarts(addCounter(registry, "kingcuploom_task_gated_starts_total", "Starts held back by the start gate"))
    , commits(addCounter(registry, "kingcuploom_ledger_commits_total", "Group commits written"))
    , failedCommits(addCounter(registry, "kingcuploom_ledger_failed_commits_total", "Group commits that failed"))
    , jobWrites(addCounter(registry, "kingcuploom_job_writes_total", "Job records written by the coordinator"))
    , failedJobWrites(addCounter(registry, "kingcuploom_job_failed_writes_total", "Job record writes that failed"))
    , failedSyncs(addCounter(registry, "kingcuploom_worker_failed_syncs_total", "Syncs without an answer"))
    , lateFinishes(addCounter(registry, "kingcuploom_task_late_finishes_total", "Finishes of attempts that were given up before"))
    , orphanStops(addCounter(registry, "kingcuploom_task_orphan_stops_total", "Stops of attempts that the ledger does not hold"))
    , m_ends(prometheus::BuildCounter().Name("kingcuploom_task_ends_total").Help("Ended attempts").Register(registry))
    , m_policyActions(
          prometheus::BuildCounter().Name("kingcuploom_policy_actions_total").Help("Actions of the task policy").Register(registry))
{
}

void TaskMetrics::countEnd(schema::TaskState state, schema::EndReason reason)
{
    m_ends.Add({ { "state", schema::EnumNameTaskState(state) }, { "reason", schema::EnumNameEndReason(reason) } }).Increment();
}

void TaskMetrics::countPolicyAction(const std::string& action, const std::string& reason)
{
    m_policyActions.Add({ { "action", action }, { "reason", reason } }).Increment();
}

} // namespace kingcuploom
