#include "JobCoordinator.h"

#include "TeamUse.h"
#include "base/Rendezvous.h"
#include "ledger/TaskStates.h"
#include "schema/Guards.h"

#include <algorithm>

namespace kingcuploom {

using ledger::AttemptKey;

namespace {

    // With seven daemons and two passes per second this stays below 300 writes per second.
    constexpr unsigned maxWritesPerPass = 20;

    constexpr std::chrono::seconds removalInterval { 1 };
    constexpr unsigned maxRemovalsPerPass = 10;

    std::int64_t wallMilliseconds(const Clock& clock)
    {
        return std::chrono::duration_cast<Milliseconds>(clock.wallNow().time_since_epoch()).count();
    }

    void subtractAssigned(ledger::ShardCapacity& capacity, const JobBoard& jobs, const ShardRecords& records)
    {
        const auto record = records.find(capacity.shard);
        std::set<AttemptKey> known;
        if (record)
            std::ranges::transform(record->entries, std::inserter(known, known.end()), [](const auto& it) { return ledger::keyOf(*it); });
        for (const auto& task : jobs.assignedTo(capacity.shard)) {
            if (!known.contains(task.key))
                capacity.free -= ledger::demandOf(*task.job.record->spec);
        }
    }

} // namespace

JobCoordinator::JobCoordinator(const TaskContext& context, const CapacityTable& capacities)
    : m_context(context)
    , m_capacities(capacities)
    , m_index(context.records)
{
}

std::vector<DaemonId> JobCoordinator::stayingMembers() const
{
    std::vector<DaemonId> members;
    for (const auto& member : m_context.ownership.members()) {
        if (!member.leaving)
            members.push_back(member.daemon);
    }
    return members;
}

std::vector<JobName> JobCoordinator::ownJobs() const
{
    const auto members = stayingMembers();
    const DaemonId self(m_context.settings.daemon_id);
    auto names = m_context.jobs.activeJobs();
    std::erase_if(names, [&](const JobName& name) { return rendezvousOwner(name.value(), members) != self; });
    std::rotate(names.begin(), std::ranges::lower_bound(names, m_next), names.end());
    return names;
}

// Standing jobs first, then the team with the smallest weighted share of the fleet.
void JobCoordinator::sortByShare(std::vector<JobName>& names, const placement::TeamShares& shares) const
{
    const auto total = fleetCapacity(*m_context.targets.snapshot());
    const auto rankOf = [&](const JobName& name) {
        const auto job = m_context.jobs.find(name);
        if (!job.record)
            return std::pair(true, 0.0);
        const auto share = shares.find(TeamName(job.record->spec->team));
        const bool isBatch = job.record->spec->kind == schema::JobKind::Batch;
        return std::pair(isBatch, share == shares.end() ? 0.0 : placement::weightedDominantShare(share->second, total));
    };
    std::map<JobName, std::pair<bool, double>> ranks;
    for (const auto& name : names)
        ranks.emplace(name, rankOf(name));
    std::ranges::stable_sort(names, {}, [&](const JobName& name) { return ranks.at(name); });
}

std::vector<ledger::ShardCapacity> JobCoordinator::freeCapacities() const
{
    auto capacities = m_capacities.recent(m_context.clock.now());
    const auto config = m_context.config.snapshot();
    if (schema::isGuardOn(m_context.settings, schema::Guard::StartGate))
        std::erase_if(capacities, [&](const auto& capacity) { return config->isOutOfService(failureDomainOf(capacity.shard)); });
    std::ranges::for_each(capacities, [&](auto& capacity) { subtractAssigned(capacity, m_context.jobs, m_context.records); });
    return capacities;
}

bool JobCoordinator::fitsFleet(const ResourceAmounts& demand) const
{
    // An empty list says only that it was not read yet.
    const auto capacities = vmCapacities(*m_context.targets.snapshot());
    return capacities.empty() || placement::checkFleet(capacities, demand);
}

bool JobCoordinator::fitsShard(const ShardId& shard, const ResourceAmounts& demand) const
{
    const auto targets = m_context.targets.snapshot();
    const auto vms = targets->shards.find(shard);
    return vms != targets->shards.end() && std::ranges::any_of(vms->second, [&](const VmId& id) {
        const auto& vm = targets->vms.at(id);
        return !vm.leaving && fits(demand, { vm.cpu, vm.memory, vm.accelerators });
    });
}

// A task is attributed its failures only when it fails on several workers, so it is tried on workers that it has not failed on.
bool JobCoordinator::hasFailedThroughout(const ShardId& shard, const schema::JobTaskT& task) const
{
    if (task.failed_workers.empty())
        return false;
    const auto targets = m_context.targets.snapshot();
    const auto vms = targets->shards.find(shard);
    return vms != targets->shards.end() && std::ranges::all_of(vms->second, [&](const VmId& id) {
        return targets->vms.at(id).leaving || std::ranges::find(task.failed_workers, id.value()) != task.failed_workers.end();
    });
}

bool JobCoordinator::advance(schema::JobRecordT& record, std::vector<ledger::ShardCapacity>& capacities, placement::TeamShares& shares)
{
    const TeamName team(record.spec->team);
    const auto takeQuota = [&](const ResourceAmounts& demand) {
        if (!placement::checkQuota(shares, team, demand))
            return false;
        shares[team].inUse += demand;
        return true;
    };
    const auto lookup = [&](const ShardId& shard, const AttemptKey& key) { return m_index.find(shard, key); };
    m_taken = ledger::takeOverEnds(record, lookup, wallMilliseconds(m_context.clock));
    const bool hasCancelled = ledger::cancelUnassigned(record);
    const ledger::AssignmentContext context { m_context.clock.now(), capacities, m_retryTimes,
        [this](const ResourceAmounts& demand) { return fitsFleet(demand); }, takeQuota,
        [this](const ShardId& shard, const ResourceAmounts& demand) { return fitsShard(shard, demand); },
        [this](const ShardId& shard, const schema::JobTaskT& task) { return hasFailedThroughout(shard, task); } };
    const bool hasAssigned = ledger::assignTasks(record, context).hasChanges();
    const bool isDoneChanged = ledger::updateDone(record);
    if (isDoneChanged)
        record.done_at_ms = wallMilliseconds(m_context.clock);
    return !m_taken.empty() || hasCancelled || hasAssigned || isDoneChanged;
}

// Most jobs of a pass only have tasks that run; they need no copy of their record.
bool JobCoordinator::needsAdvance(const schema::JobRecordT& record) const
{
    const JobName name(record.spec->name);
    std::uint32_t nextIndex = 0;
    const auto needsWork = [&](const auto& task) {
        const auto index = nextIndex++;
        if (task->state != schema::TaskState::Assigned)
            return !ledger::isFinal(task->state);
        const auto* entry = m_index.find(ShardId(task->shard), { { name, index }, Attempt(task->attempt) });
        return entry && ledger::isEnded(entry->state);
    };
    const auto isFinal = [](const auto& task) { return ledger::isFinal(task->state); };
    return std::ranges::any_of(record.tasks, needsWork) || std::ranges::all_of(record.tasks, isFinal);
}

bool JobCoordinator::isDone(const JobName& name) const
{
    const auto job = m_context.jobs.find(name);
    return job.record && job.record->done;
}

// The store must not grow with every job ever run: at 45,000 jobs a day the full read that starts a daemon would become too large.
void JobCoordinator::removeExpired()
{
    const auto now = m_context.clock.now();
    if (m_nextRemoval && now < *m_nextRemoval)
        return;
    m_nextRemoval = now + removalInterval;
    const auto oldest = wallMilliseconds(m_context.clock) - static_cast<std::int64_t>(m_context.settings.job_retention_ms);
    const auto members = stayingMembers();
    const DaemonId self(m_context.settings.daemon_id);
    unsigned removals = 0;
    for (const auto& [name, job] : m_context.jobs.all()) {
        const auto& record = *job.record;
        if (!record.done || record.done_at_ms == 0 || record.done_at_ms > oldest || rendezvousOwner(name.value(), members) != self)
            continue;
        if (!m_context.jobs.remove(name) || ++removals >= maxRemovalsPerPass)
            return;
    }
}

void JobCoordinator::auditTaskFaults(const JobName& name) const
{
    const auto job = m_context.jobs.find(name);
    for (const auto& end : m_taken) {
        if (!job.record || end.reason != schema::EndReason::TaskFault)
            continue;
        const auto& task = *job.record->tasks[end.key.task.index];
        m_context.metrics.countPolicyAction("fail_task", "TaskFault");
        auditTask(m_context, end.key, "fail_task", "TaskFault",
            "failures=" + std::to_string(task.failures) + " workers=" + joinedWorkers(task.failed_workers));
    }
}

void JobCoordinator::pass()
{
    if (m_context.jobs.revision() == Revision() || m_context.ownership.isLeaving())
        return;
    removeExpired();
    auto capacities = freeCapacities();
    auto shares = teamUse(m_context);
    auto names = ownJobs();
    sortByShare(names, shares);
    m_index.update();
    unsigned writes = 0;
    for (const auto& name : names) {
        const auto job = m_context.jobs.find(name);
        if (!job.record || !needsAdvance(*job.record))
            continue;
        bool isTried = false;
        const auto result = m_context.jobs.update(name, [&](schema::JobRecordT& record) {
            isTried = advance(record, capacities, shares);
            return isTried;
        });
        if (result == JobBoard::WriteResult::StoreUnavailable || result == JobBoard::WriteResult::OutcomeUnknown) {
            m_context.metrics.failedJobWrites.Increment();
            return;
        }
        if (!isTried)
            continue;
        m_context.metrics.jobWrites.Increment();
        if (result == JobBoard::WriteResult::Written)
            auditTaskFaults(name);
        if (result == JobBoard::WriteResult::Written && isDone(name))
            auditJob(m_context, name, "system", "job_done", "AllTasksFinal");
        m_next = name;
        if (++writes >= maxWritesPerPass)
            return;
    }
}

} // namespace kingcuploom
