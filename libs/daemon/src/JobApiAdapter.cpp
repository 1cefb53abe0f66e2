#include "JobApiAdapter.h"

#include "ShardMemory.h"
#include "TaskContext.h"

#include <algorithm>
#include <cctype>

namespace kingcuploom {

namespace {

    JobErrorCode toCode(ledger::JobErrorCode code)
    {
        switch (code) {
        case ledger::JobErrorCode::InvalidSpecification:
            return JobErrorCode::Invalid;
        case ledger::JobErrorCode::DifferentSpecification:
            return JobErrorCode::Conflict;
        case ledger::JobErrorCode::NoSuchJob:
        case ledger::JobErrorCode::NoSuchTask:
            return JobErrorCode::NotFound;
        case ledger::JobErrorCode::StoreUnavailable:
            return JobErrorCode::StoreUnavailable;
        case ledger::JobErrorCode::OutcomeUnknown:
            break;
        }
        return JobErrorCode::OutcomeUnknown;
    }

    // "LeaseLapsed" becomes "lease_lapsed", the form of codes in answers to operators.
    std::string toSnakeCase(std::string_view name)
    {
        std::string text;
        for (const char c : name) {
            if (std::isupper(static_cast<unsigned char>(c)) != 0 && !text.empty())
                text += '_';
            text += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        return text;
    }

    std::string failureFigures(const TaskExplanation& task)
    {
        const std::string workers = task.failedWorkers.empty() ? "" : " workers=" + joinedWorkers(task.failedWorkers);
        return "failures=" + std::to_string(task.failures) + workers;
    }

} // namespace

JobApiAdapter::JobApiAdapter(TaskService& tasks, const TargetCatalog& catalog, const OwnershipView& ownership)
    : m_tasks(tasks)
    , m_catalog(catalog)
    , m_ownership(ownership)
{
}

JobError JobApiAdapter::toJobError(const ledger::JobError& error, const JobName& name) const
{
    JobError result;
    result.code = toCode(error.code);
    if (result.code == JobErrorCode::Invalid)
        result.problems.push_back({ resources::ProblemCode::OutOfRange, error.field, "", "" });
    if (result.code == JobErrorCode::Conflict) {
        if (const auto current = m_tasks.findJob(name))
            result.current = *current->record;
    }
    return result;
}

Expected<schema::JobRecordT, JobError> JobApiAdapter::submit(const schema::JobSpecT& spec, const std::string& actor)
{
    const JobName name(spec.name);
    if (const auto outcome = m_tasks.submitJob(spec, actor); !outcome)
        return makeUnexpected(toJobError(outcome.error(), name));
    return find(name);
}

Expected<schema::JobRecordT, JobError> JobApiAdapter::cancel(const JobName& name, const std::string& actor)
{
    if (const auto outcome = m_tasks.cancelJob(name, actor); !outcome)
        return makeUnexpected(toJobError(outcome.error(), name));
    return find(name);
}

Expected<schema::JobRecordT, JobError> JobApiAdapter::find(const JobName& name) const
{
    const auto job = m_tasks.findJob(name);
    if (!job)
        return makeUnexpected(toJobError(job.error(), name));
    return *job->record;
}

std::vector<schema::JobRecordT> JobApiAdapter::list() const
{
    std::vector<schema::JobRecordT> records;
    for (const auto& summary : m_tasks.listJobs()) {
        if (const auto job = m_tasks.findJob(summary.name))
            records.push_back(*job->record);
    }
    return records;
}

Expected<Explanation, JobError> JobApiAdapter::explain(const ExplainQuery& query) const
{
    switch (query.kind) {
    case ExplainKind::Task:
        return explainTask(parseTaskId(query.name));
    case ExplainKind::Worker:
        return explainWorker(VmId(query.name));
    case ExplainKind::RequestClass:
        break;
    }
    // Refusals of requests are counted per reason in the metrics and audited under their service.
    const auto service = "service/" + query.name.substr(0, query.name.find('/'));
    return Explanation { "see_audit", { { "refusals_are_audited", "object=" + service, "kingcuploomctl audit " + service } } };
}

Expected<Explanation, JobError> JobApiAdapter::explainTask(const TaskId& id) const
{
    const auto task = m_tasks.explainTask(id);
    if (!task)
        return makeUnexpected(toJobError(task.error(), id.job));
    Explanation result;
    result.state = toSnakeCase(schema::EnumNameTaskState(task->ledgerState.value_or(task->state)));
    if (!task->waitingFor.empty())
        result.reasons.push_back({ task->waitingFor, task->figures, "" });
    if (task->lastEndReason != schema::EndReason::None)
        result.reasons.push_back({ toSnakeCase(schema::EnumNameEndReason(task->lastEndReason)), failureFigures(*task), "" });
    if (task->sharePerMille.value_or(fullShare) < fullShare)
        result.reasons.push_back({ "Throttled", "share_per_mille=" + std::to_string(*task->sharePerMille), "" });
    std::string place = "shard=" + task->shard.value() + " worker=" + task->worker.value()
        + " attempt=" + std::to_string(task->attempt.value()) + " checkpoint=" + std::to_string(task->checkpoint);
    if (task->shardOwner)
        place += " owner=" + task->shardOwner->value();
    result.reasons.push_back({ "place", place, "" });
    return result;
}

Expected<Explanation, JobError> JobApiAdapter::explainWorker(const VmId& id) const
{
    const auto targets = m_catalog.snapshot();
    const auto it = targets->vms.find(id);
    if (it == targets->vms.end())
        return makeUnexpected(JobError { JobErrorCode::NotFound, {}, {} });
    const auto& vm = it->second;
    Explanation result;
    result.state = vm.leaving ? "leaving" : "live";
    std::string figures = "shard=" + vm.shard.value() + " cpu_millis=" + std::to_string(vm.cpu.value())
        + " memory_mb=" + std::to_string(vm.memory.value()) + " accelerators=" + std::to_string(vm.accelerators.value());
    if (const auto owner = m_ownership.ownerOf(vm.shard))
        figures += " owner=" + owner->value();
    result.reasons.push_back({ "listed", figures, "" });
    if (const auto quarantine = m_tasks.quarantineOf(vm.shard, id))
        result.reasons.push_back({ *quarantine, "", "kingcuploomctl audit" });
    return result;
}

} // namespace kingcuploom
