#pragma once

#include "daemon/JobApi.h"
#include "daemon/TargetCatalog.h"
#include "daemon/TaskService.h"

namespace kingcuploom {

// Gives OperatorApi the jobs of TaskService. Thread-safe.
class JobApiAdapter final : public JobApi {
public:
    JobApiAdapter(TaskService&, const TargetCatalog&, const OwnershipView&);

    Expected<schema::JobRecordT, JobError> submit(const schema::JobSpecT&, const std::string& actor) override;
    Expected<schema::JobRecordT, JobError> cancel(const JobName&, const std::string& actor) override;
    Expected<schema::JobRecordT, JobError> find(const JobName&) const override;
    std::vector<schema::JobRecordT> list() const override;
    Expected<Explanation, JobError> explain(const ExplainQuery&) const override;

private:
    Expected<Explanation, JobError> explainTask(const TaskId&) const;
    Expected<Explanation, JobError> explainWorker(const VmId&) const;
    JobError toJobError(const ledger::JobError&, const JobName&) const;

    TaskService& m_tasks;
    const TargetCatalog& m_catalog;
    const OwnershipView& m_ownership;
};

} // namespace kingcuploom
