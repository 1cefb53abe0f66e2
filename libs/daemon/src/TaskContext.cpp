#include "TaskContext.h"

#include "schema/Guards.h"

namespace kingcuploom {

bool mayStart(const TaskContext& context, const OwnedShard& owned)
{
    if (owned.portion != Portion::Whole || owned.isDraining || context.ownership.isLeaving())
        return false;
    if (!schema::isGuardOn(context.settings, schema::Guard::StartGate))
        return true;
    const auto confirmedAt = context.config.confirmedAt();
    if (!confirmedAt || context.clock.now() - *confirmedAt >= Milliseconds(context.settings.config_max_age_ms))
        return false;
    return !context.config.snapshot()->isOutOfService(failureDomainOf(owned.shard));
}

ledger::LeaseTimes leaseTimes(const schema::SettingsT& settings)
{
    return { Milliseconds(settings.task_lease_ms), Milliseconds(settings.lease_margin_ms) };
}

ledger::JobLookup jobLookup(const JobBoard& jobs)
{
    return [&jobs](const JobName& name) { return jobs.find(name); };
}

void auditTask(
    const TaskContext& context, const ledger::AttemptKey& key, const char* action, const std::string& reason, const std::string& figures)
{
    schema::AuditEventT event;
    event.actor = "system";
    event.object = "task/" + toString(key.task);
    event.action = action;
    event.reason = reason;
    event.figures = "attempt=" + std::to_string(key.attempt.value()) + (figures.empty() ? "" : " " + figures);
    context.audit.record(std::move(event));
}

void auditJob(const TaskContext& context, const JobName& name, const std::string& actor, const char* action, const char* reason)
{
    schema::AuditEventT event;
    event.actor = actor;
    event.object = "job/" + name.value();
    event.action = action;
    event.reason = reason;
    event.revision_after = context.jobs.find(name).revision.value();
    context.audit.record(std::move(event));
}

void auditWorker(const TaskContext& context, const VmId& vm, const char* action, const char* reason, const std::string& figures)
{
    schema::AuditEventT event;
    event.actor = "system";
    event.object = "worker/" + vm.value();
    event.action = action;
    event.reason = reason;
    event.figures = figures;
    context.audit.record(std::move(event));
}

std::string joinedWorkers(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

} // namespace kingcuploom
