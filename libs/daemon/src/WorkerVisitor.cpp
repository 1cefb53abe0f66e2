#include "WorkerVisitor.h"

#include "FailurePolicy.h"
#include "UsageLearning.h"
#include "ledger/TaskStates.h"
#include "schema/Guards.h"

#include <algorithm>

namespace kingcuploom {

using ledger::AttemptKey;
using ledger::keyOf;
using schema::EndReason;
using schema::TaskState;

namespace {

    // Together with the time limit of the call and a configuration confirmed at most 2 s before, a start takes effect within the
    // bound of 3 s.
    constexpr Milliseconds startValidity { 450 };
    constexpr unsigned maxSyncDoublings = 4;
    constexpr Milliseconds gatedStartDelay { 100 };

    std::vector<AttemptKey> keysOn(const schema::ShardRecordT& record, const VmId& vm, const std::function<bool(TaskState)>& matches)
    {
        std::vector<AttemptKey> keys;
        for (const auto& entry : record.entries) {
            if (entry->worker == vm.value() && matches(entry->state))
                keys.push_back(keyOf(*entry));
        }
        return keys;
    }

    Milliseconds workOf(const schema::LedgerEntryT& entry)
    {
        return Milliseconds(entry.kind == schema::JobKind::Standing ? 0 : entry.work_ms);
    }

    bool isStarting(TaskState state) { return state == TaskState::Starting; }
    bool isStopping(TaskState state) { return state == TaskState::Stopping; }
    bool isRenewed(TaskState state) { return ledger::holdsCapacity(state) && state != TaskState::Stopping; }

    // An unanswered worker is asked less often, but several times within a lease.
    Milliseconds syncDelay(const schema::SettingsT& settings, unsigned failedCalls)
    {
        const Milliseconds interval(settings.worker_sync_ms);
        const Milliseconds longest = std::max(interval, Milliseconds(settings.task_lease_ms / 4));
        return std::min(interval * (1U << std::min(failedCalls, maxSyncDoublings)), longest);
    }

} // namespace

struct WorkerVisitor::Visit {
    OwnedShard owned;
    VmId vm;
    std::string url;
};

WorkerVisitor::WorkerVisitor(const TaskContext& context)
    : m_context(context)
{
}

template <typename Change> void WorkerVisitor::change(const Visit& visit, const Change& change) const
{
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(visit.owned.shard);
    if (it == m_context.table.shards.end() || it->second.epoch != visit.owned.epoch)
        return;
    change(it->second, it->second.workers[visit.vm]);
}

std::vector<VmId> WorkerVisitor::takeDueVisits(const ShardId& shard)
{
    const auto record = m_context.records.find(shard);
    if (!record)
        return {};
    const auto targets = m_context.targets.snapshot();
    const auto now = m_context.clock.now();
    const std::scoped_lock lock(m_context.table.mutex);
    const auto memory = m_context.table.shards.find(shard);
    if (memory == m_context.table.shards.end())
        return {};
    // Workers to visit; true for those with a start that was never sent.
    std::map<VmId, bool> candidates;
    if (const auto listed = targets->shards.find(shard); listed != targets->shards.end())
        std::ranges::for_each(listed->second, [&](const VmId& vm) { candidates.emplace(vm, false); });
    for (const auto& entry : record->entries) {
        if (ledger::holdsCapacity(entry->state))
            candidates[VmId(entry->worker)] |= isStarting(entry->state) && !memory->second.maybeStarted.contains(keyOf(*entry));
    }
    std::vector<VmId> due;
    for (const auto& [vm, hasNewStart] : candidates) {
        auto& worker = memory->second.workers[vm];
        const bool mayTryStarts = worker.contact.failedCalls == 0 && now >= worker.nextStartAt;
        const bool isDue = now >= worker.nextSyncAt || (hasNewStart && mayTryStarts);
        if (worker.isVisited || !isDue)
            continue;
        worker.isVisited = true;
        due.push_back(vm);
    }
    return due;
}

void WorkerVisitor::visit(const ShardId& shard, const VmId& vm)
{
    const auto targets = m_context.targets.snapshot();
    const auto owned = m_context.ownership.owned(shard);
    Visit visit { owned.value_or(OwnedShard()), vm, "" };
    Epoch markedEpoch;
    {
        const std::scoped_lock lock(m_context.table.mutex);
        auto& url = m_context.table.urls[vm];
        if (const auto it = targets->vms.find(vm); it != targets->vms.end())
            url = it->second.workerUrl;
        visit.url = url;
        if (const auto it = m_context.table.shards.find(shard); it != m_context.table.shards.end())
            markedEpoch = it->second.epoch;
    }
    if (owned && owned->portion != Portion::None)
        runVisit(visit);
    endVisit(shard, vm, markedEpoch);
}

void WorkerVisitor::dropVisit(const ShardId& shard, const VmId& vm)
{
    const std::scoped_lock lock(m_context.table.mutex);
    if (const auto it = m_context.table.shards.find(shard); it != m_context.table.shards.end())
        it->second.workers[vm].isVisited = false;
}

// A shard that was adopted anew during the visit has marks of its own.
void WorkerVisitor::endVisit(const ShardId& shard, const VmId& vm, Epoch markedEpoch)
{
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(shard);
    if (it != m_context.table.shards.end() && it->second.epoch == markedEpoch)
        it->second.workers[vm].isVisited = false;
}

void WorkerVisitor::runVisit(Visit& visit)
{
    // The address of a VM that left the list before this daemon started is not known; it counts as silent.
    if (visit.url.empty()) {
        noteContact(visit, false, std::nullopt);
        return;
    }
    sendUncommittedStarts(visit);
    const auto stops = pendingStops(visit);
    const bool areStopsSent = std::ranges::all_of(stops, [&](const AttemptKey& key) { return sendStop(visit, key); });
    if (!areStopsSent)
        return;
    // A sync right after the stops tells how the stopped attempts ended.
    if ((!stops.empty() || isSyncDue(visit)) && !sendSync(visit))
        return;
    if (sendThrottles(visit))
        sendStarts(visit);
}

ShardRecords::Record WorkerVisitor::currentRecord(const Visit& visit) const
{
    const auto record = m_context.records.find(visit.owned.shard);
    return record && isCurrent(*record, visit.owned) ? record : nullptr;
}

void WorkerVisitor::noteContact(const Visit& visit, bool isAnswered, std::optional<MonotonicTime> mayHaveRenewedAt)
{
    const auto now = m_context.clock.now();
    change(visit, [&](ShardMemory&, WorkerMemory& worker) {
        if (mayHaveRenewedAt)
            worker.contact.mayHaveRenewedAt = mayHaveRenewedAt;
        if (isAnswered)
            worker.contact.lastAnswerAt = now;
        worker.contact.failedCalls = isAnswered ? 0 : worker.contact.failedCalls + 1;
        if (!isAnswered)
            worker.nextSyncAt = now + syncDelay(m_context.settings, worker.contact.failedCalls);
    });
}

bool WorkerVisitor::isSyncDue(const Visit& visit) const
{
    bool isDue = false;
    change(visit, [&](const ShardMemory&, const WorkerMemory& worker) { isDue = m_context.clock.now() >= worker.nextSyncAt; });
    return isDue;
}

std::set<AttemptKey> WorkerVisitor::pendingStops(const Visit& visit) const
{
    const auto record = currentRecord(visit);
    std::set<AttemptKey> stops;
    if (!record)
        return stops;
    std::ranges::copy(keysOn(*record, visit.vm, isStopping), std::inserter(stops, stops.end()));
    change(visit, [&](ShardMemory& memory, WorkerMemory& worker) {
        std::erase_if(stops, [&](const AttemptKey& key) { return memory.confirmed.stops.contains(key); });
        stops.insert(worker.orphans.begin(), worker.orphans.end());
    });
    return stops;
}

bool WorkerVisitor::sendStop(const Visit& visit, const AttemptKey& key)
{
    const auto answer = m_context.workers.stop(visit.url, { visit.owned.shard, visit.owned.epoch, key });
    if (!answer && !isAnswered(answer.error().code)) {
        noteContact(visit, false, std::nullopt);
        return false;
    }
    if (!answer)
        return answer.error().code != WorkerErrorCode::StaleEpoch;
    change(visit, [&](ShardMemory& memory, WorkerMemory& worker) {
        memory.confirmed.stops.insert(key);
        worker.orphans.erase(key);
    });
    return true;
}

SyncCall WorkerVisitor::makeSync(const Visit& visit, const schema::ShardRecordT& record) const
{
    const auto times = leaseTimes(m_context.settings);
    SyncCall call { visit.owned.shard, visit.owned.epoch, times.lease, {}, {} };
    change(visit, [&](const ShardMemory& memory, const WorkerMemory& worker) {
        call.acknowledge.assign(worker.acknowledge.begin(), worker.acknowledge.end());
        if (ledger::shouldRenew(worker.contact, memory.ownedSince, m_context.clock.now(), times))
            call.renew = keysOn(record, visit.vm, isRenewed);
    });
    return call;
}

bool WorkerVisitor::sendSync(const Visit& visit)
{
    const auto record = currentRecord(visit);
    if (!record)
        return false;
    const auto call = makeSync(visit, *record);
    const auto nextSyncAt = m_context.clock.now() + Milliseconds(m_context.settings.worker_sync_ms);
    change(visit, [&](ShardMemory&, WorkerMemory& worker) { worker.nextSyncAt = nextSyncAt; });
    const auto answer = m_context.workers.sync(visit.url, call);
    const auto renewedAt = call.renew.empty() ? std::nullopt : std::optional(m_context.clock.now());
    if (!answer) {
        m_context.metrics.failedSyncs.Increment();
        noteContact(visit, isAnswered(answer.error().code), renewedAt);
        return false;
    }
    noteContact(visit, true, renewedAt);
    if (answer->epoch > visit.owned.epoch)
        return false;
    takeAnswer(visit, *answer);
    return true;
}

void WorkerVisitor::takeAnswer(const Visit& visit, const SyncAnswer& answer)
{
    const auto record = currentRecord(visit);
    if (!record)
        return;
    ledger::ConfirmedCalls confirmed;
    change(visit, [&](const ShardMemory& memory, const WorkerMemory&) { confirmed = memory.confirmed; });
    auto findings = ledger::judgeReports(*record, visit.vm, answer.reports, confirmed, jobLookup(m_context.jobs));
    for (const auto& key : findings.lateFinishes) {
        m_context.metrics.lateFinishes.Increment();
        auditTask(m_context, key, "ignore_finish", "OldAttempt", "worker=" + visit.vm.value());
    }
    for (const auto& key : findings.orphans) {
        m_context.metrics.orphanStops.Increment();
        auditTask(m_context, key, "stop_orphan", "NotInLedger", "worker=" + visit.vm.value());
    }
    const auto config = m_context.config.snapshot();
    const auto targets = m_context.targets.snapshot();
    const auto now = m_context.clock.now();
    auto& learned = m_context.table.learned;
    std::vector<PolicyAction> actions;
    change(visit, [&](ShardMemory& memory, WorkerMemory& worker) {
        const ShardViewSource source { visit.owned.shard, *record, memory, learned, *config, *targets, m_context.settings, now };
        actions = noteEnds(source, visit.vm, findings.outcomes, memory, worker);
        for (const auto& [key, outcome] : findings.outcomes)
            ledger::noteOutcome(memory.outcomes, key, outcome);
        for (const auto& [key, checkpoint] : findings.checkpoints)
            memory.checkpoints[key] = checkpoint;
        takeUsage(*record, visit.vm, answer, memory, learned, now);
        std::ranges::move(controlWorker(source, visit.vm, answer, memory, worker, learned), std::back_inserter(actions));
        worker.acknowledge = findings.acknowledge;
        worker.orphans = findings.orphans;
    });
    notePolicyActions(actions);
}

void WorkerVisitor::notePolicyActions(const std::vector<PolicyAction>& actions)
{
    for (const auto& action : actions) {
        m_context.metrics.countPolicyAction(action.name, action.reason);
        if (action.worker)
            auditWorker(m_context, *action.worker, action.name, action.reason, "task=" + toString(action.key.task) + " " + action.figures);
        else
            auditTask(m_context, action.key, action.name, action.reason, action.figures);
    }
}

// A share whose call had no answer differs from the confirmed one, so the next visit sends it again.
bool WorkerVisitor::sendThrottles(const Visit& visit)
{
    std::map<AttemptKey, unsigned> shares;
    change(visit, [&](const ShardMemory&, const WorkerMemory& worker) {
        for (const auto& [key, share] : worker.shares) {
            if (worker.canThrottle && share.confirmed != share.wanted)
                shares.emplace(key, share.wanted);
        }
    });
    for (const auto& [key, share] : shares) {
        const auto answer = m_context.workers.throttle(visit.url, { visit.owned.shard, visit.owned.epoch, key, share });
        if (!answer && !isAnswered(answer.error().code)) {
            noteContact(visit, false, std::nullopt);
            return false;
        }
        if (!answer && answer.error().code == WorkerErrorCode::StaleEpoch)
            return false;
        noteThrottle(visit, key, share, answer);
    }
    return true;
}

void WorkerVisitor::noteThrottle(
    const Visit& visit, const AttemptKey& key, unsigned sharePerMille, const Expected<void, WorkerError>& answer)
{
    change(visit, [&](ShardMemory&, WorkerMemory& worker) {
        // Any other refusal says that the attempt runs there no more.
        worker.canThrottle = answer || answer.error().code != WorkerErrorCode::Protocol;
        if (const auto it = worker.shares.find(key); it != worker.shares.end())
            it->second.confirmed = worker.canThrottle ? sharePerMille : it->second.confirmed.value_or(fullShare);
    });
}

void WorkerVisitor::sendStarts(const Visit& visit)
{
    const auto record = currentRecord(visit);
    if (!record)
        return;
    auto keys = keysOn(*record, visit.vm, isStarting);
    change(visit, [&](const ShardMemory& memory, const WorkerMemory&) {
        std::erase_if(keys, [&](const AttemptKey& key) { return memory.confirmed.starts.contains(key) || memory.outcomes.contains(key); });
    });
    for (const auto& key : keys) {
        if (!sendStart(visit, key))
            return;
    }
}

StartCall WorkerVisitor::makeStart(const Visit& visit, const schema::LedgerEntryT& entry) const
{
    return { visit.owned.shard, visit.owned.epoch, keyOf(entry), ledger::demandOf(entry), Milliseconds(m_context.settings.task_lease_ms),
        startValidity, workOf(entry), entry.checkpoint, entry.class_name };
}

// Only for tests that show what the commit before the start prevents.
void WorkerVisitor::sendUncommittedStarts(const Visit& visit)
{
    std::vector<StartCall> calls;
    change(visit, [&](ShardMemory& memory, WorkerMemory&) {
        for (const auto& [vm, entry] : memory.uncommittedStarts) {
            if (vm == visit.vm)
                calls.push_back(makeStart(visit, entry));
        }
        std::erase_if(memory.uncommittedStarts, [&](const auto& start) { return start.first == visit.vm; });
    });
    for (const auto& call : calls)
        std::ignore = m_context.workers.start(visit.url, call);
}

// Reads everything anew: between the commit and this call the shard, the configuration or the entry may have changed.
std::optional<StartCall> WorkerVisitor::gatedStart(const Visit& visit, const AttemptKey& key) const
{
    const auto record = currentRecord(visit);
    const auto* entry = record ? ledger::findEntry(*record, key) : nullptr;
    if (!entry || entry->state != TaskState::Starting || entry->worker != visit.vm.value())
        return std::nullopt;
    const auto targets = m_context.targets.snapshot();
    const auto vm = targets->vms.find(visit.vm);
    const bool isLeaving = vm != targets->vms.end() && vm->second.leaving;
    if (vm == targets->vms.end() || (isLeaving && schema::isGuardOn(m_context.settings, schema::Guard::LeavingTargets)))
        return std::nullopt;
    auto call = makeStart(visit, *entry);
    const auto owned = m_context.ownership.owned(visit.owned.shard);
    if (!owned || owned->epoch != visit.owned.epoch || !mayStart(m_context, *owned))
        return std::nullopt;
    return call;
}

bool WorkerVisitor::sendStart(const Visit& visit, const AttemptKey& key)
{
    bool wasMaybeStarted = false;
    change(visit, [&](ShardMemory& memory, WorkerMemory&) {
        wasMaybeStarted = !memory.maybeStarted.insert(key).second;
        placement::noteStart(memory.failures, visit.vm, key.task, m_context.clock.now());
    });
    const auto call = gatedStart(visit, key);
    if (!call) {
        m_context.metrics.gatedStarts.Increment();
        change(visit, [&](ShardMemory& memory, WorkerMemory& worker) {
            if (!wasMaybeStarted)
                memory.maybeStarted.erase(key);
            worker.nextStartAt = m_context.clock.now() + gatedStartDelay;
        });
        return false;
    }
    const auto answer = m_context.workers.start(visit.url, *call);
    const auto now = m_context.clock.now();
    if (answer) {
        m_context.metrics.starts.Increment();
        noteContact(visit, true, now);
        change(visit, [&](ShardMemory& memory, WorkerMemory&) {
            memory.confirmed.starts.insert(key);
            ledger::noteOutcome(memory.outcomes, key, { TaskState::Running, EndReason::None, call->checkpoint });
        });
        return true;
    }
    if (answer.error().code == WorkerErrorCode::NotSent && !wasMaybeStarted) {
        // No byte left this process, so the attempt runs nowhere and can move at once.
        noteContact(visit, false, std::nullopt);
        change(visit, [&](ShardMemory& memory, WorkerMemory&) {
            ledger::noteOutcome(memory.outcomes, key, { TaskState::Evicted, EndReason::LeaseLapsed, call->checkpoint });
        });
        return false;
    }
    return takeStartError(visit, key, answer.error());
}

bool WorkerVisitor::takeStartError(const Visit& visit, const AttemptKey& key, const WorkerError& error)
{
    m_context.metrics.startRefusals.Increment();
    const bool wasAnswered = isAnswered(error.code);
    // A start that was sent may still take effect within its time limit.
    const auto renewedAt = wasAnswered ? std::nullopt : std::optional(m_context.clock.now() + startValidity);
    noteContact(visit, wasAnswered, renewedAt);
    // The worker has stopped the attempt or seen a later one, so it never runs there.
    if (error.code == WorkerErrorCode::StaleAttempt) {
        change(visit, [&](ShardMemory& memory, WorkerMemory&) {
            ledger::noteOutcome(memory.outcomes, key, { TaskState::Evicted, EndReason::LeaseLapsed, 0 });
        });
    }
    return wasAnswered && error.code != WorkerErrorCode::StaleEpoch;
}

} // namespace kingcuploom
