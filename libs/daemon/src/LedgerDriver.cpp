#include "LedgerDriver.h"

#include "FailurePolicy.h"
#include "TeamUse.h"
#include "UsageLearning.h"

#include "ledger/TaskStates.h"
#include "schema/Guards.h"

#include <algorithm>

namespace kingcuploom {

using ledger::AttemptKey;
using ledger::holdsCapacity;
using ledger::keyOf;
using schema::EndReason;
using schema::TaskState;

namespace {

    // A place may become free within a few syncs; a longer wait is better spent in another shard.
    constexpr Milliseconds maxWaitForPlace { 5000 };
    // Longer than a stop takes: one sync and two commits.
    constexpr std::chrono::seconds preemptionInterval { 3 };
    // A round that changed nothing made no call, so the next may follow soon.
    constexpr Milliseconds idleRoundDelay { 50 };
    // Moves that may come at once after a quiet time.
    constexpr double burstSeconds = 5;

    ledger::Outcomes outcomesLeft(const ledger::Outcomes& outcomes, const schema::ShardRecordT& record)
    {
        ledger::Outcomes left;
        for (const auto& [key, outcome] : outcomes) {
            const auto* entry = ledger::findEntry(record, key);
            if (entry && ledger::isTransitionAllowed(entry->state, outcome.state))
                left.emplace(key, outcome);
        }
        return left;
    }

    std::set<AttemptKey> keysOf(const schema::ShardRecordT& record, const std::function<bool(TaskState)>& matches)
    {
        std::set<AttemptKey> keys;
        for (const auto& entry : record.entries) {
            if (matches(entry->state))
                keys.insert(keyOf(*entry));
        }
        return keys;
    }

    void keepOnly(std::set<AttemptKey>& keys, const std::set<AttemptKey>& live)
    {
        std::erase_if(keys, [&](const AttemptKey& key) { return !live.contains(key); });
    }

    template <typename Value> void keepOnly(std::map<AttemptKey, Value>& entries, const std::set<AttemptKey>& live)
    {
        std::erase_if(entries, [&](const auto& entry) { return !live.contains(entry.first); });
    }

} // namespace

struct LedgerDriver::Round {
    OwnedShard owned;
    MonotonicTime now;
    bool mayStart = false;
    std::shared_ptr<const ConfigSnapshot> config;
    std::shared_ptr<const TargetSnapshot> targets;
    std::vector<ledger::AssignedTask> assigned;
    Revision jobsRevision;
    // The record that the changes were applied to.
    schema::ShardRecordT before;

    bool isDomainOut() const { return config->isOutOfService(failureDomainOf(owned.shard)); }
};

LedgerDriver::LedgerDriver(const TaskContext& context)
    : m_context(context)
{
}

void LedgerDriver::adoptShards(const std::vector<OwnedShard>& owned)
{
    const auto records = m_context.records.all();
    const auto now = m_context.clock.now();
    const std::scoped_lock lock(m_context.table.mutex);
    auto& shards = m_context.table.shards;
    std::erase_if(shards, [&](const auto& entry) { return std::ranges::find(owned, entry.first, &OwnedShard::shard) == owned.end(); });
    for (const auto& shard : owned) {
        const auto record = records.find(shard.shard);
        if (record == records.end() || !isCurrent(*record->second, shard))
            continue;
        auto& memory = shards[shard.shard];
        if (memory.epoch == shard.epoch)
            continue;
        memory = ShardMemory();
        memory.epoch = shard.epoch;
        memory.ownedSince = now;
        memory.tokensAt = now;
        memory.maybeStarted = keysOf(*record->second, holdsCapacity);
    }
}

bool LedgerDriver::isCommitDue(const ShardId& shard) const
{
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(shard);
    return it != m_context.table.shards.end() && m_context.clock.now() >= it->second.nextCommitAt;
}

void LedgerDriver::commitRound(const ShardId& shard)
{
    const auto owned = m_context.ownership.owned(shard);
    if (!owned || owned->portion == Portion::None)
        return;
    const auto now = m_context.clock.now();
    Round round { *owned, now, mayStart(m_context, *owned), m_context.config.snapshot(), m_context.targets.snapshot(), {}, {}, {} };
    // The revision is read before the tasks, so the tasks are at least as new.
    round.jobsRevision = m_context.jobs.revision();
    round.assigned = m_context.jobs.assignedTo(shard);
    if (m_context.backoff.isHeldBack(now))
        return;
    const auto result = m_context.records.update(
        shard, [&](schema::ShardRecordT& record) { return applyRound(record, round) && m_context.backoff.mayCall(now); });
    if (!result) {
        noteFailure(shard, result.error().code);
        return;
    }
    m_context.backoff.succeeded();
    m_context.metrics.commits.Increment();
    finishRound(shard, round.before, **result);
}

bool LedgerDriver::applyRound(schema::ShardRecordT& record, Round& round)
{
    if (!isCurrent(record, round.owned))
        return false;
    round.before = record;
    const auto findJob = jobLookup(m_context.jobs);
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(round.owned.shard);
    if (it == m_context.table.shards.end() || it->second.epoch != round.owned.epoch)
        return false;
    auto& memory = it->second;
    giveUpSilentWorkers(record, round, memory);
    unsigned changes = ledger::applyOutcomes(record, memory.outcomes);
    changes += ledger::evictGoneWorkers(record, round.targets->goneVms, memory.checkpoints);
    changes += ledger::pruneEnded(record, findJob, round.jobsRevision);
    changes += ledger::applyCancellations(record, findJob);
    if (!round.owned.isDraining) {
        changes += ledger::takeInAssigned(record, round.assigned, round.jobsRevision);
        changes += applyMoves(record, round, memory);
        changes += applyPolicyStops(record, memory);
        changes += returnWaiting(record, round, memory);
        changes += placeWaiting(record, round, memory);
        changes += preemptForStanding(record, round, memory);
    }
    return changes > 0;
}

void LedgerDriver::giveUpSilentWorkers(const schema::ShardRecordT& record, const Round& round, ShardMemory& memory) const
{
    for (const auto& [vm, worker] : memory.workers) {
        if (worker.isVisited || worker.contact.failedCalls == 0)
            continue;
        for (const auto& key : ledger::startingOn(record, vm)) {
            // No start was sent, so the attempt runs nowhere and need not wait for a lease.
            if (!memory.maybeStarted.contains(key))
                ledger::noteOutcome(memory.outcomes, key, { TaskState::Evicted, EndReason::LeaseLapsed, 0 });
        }
        const auto expireAt = ledger::leasesExpireAt(
            worker.contact, round.owned.isPredecessorReleased, round.owned.releasedAt, leaseTimes(m_context.settings));
        const bool mayStillRun = !expireAt || round.now < *expireAt;
        if (mayStillRun && schema::isGuardOn(m_context.settings, schema::Guard::StopBeforeMove))
            continue;
        for (const auto& [key, outcome] : ledger::giveUpWorker(record, vm, memory.checkpoints))
            ledger::noteOutcome(memory.outcomes, key, outcome);
    }
}

unsigned LedgerDriver::applyMoves(schema::ShardRecordT& record, const Round& round, ShardMemory& memory) const
{
    const double perSecond = round.config->policy.moves_per_minute / 60.0;
    const auto elapsed = std::chrono::duration<double>(round.now - memory.tokensAt).count();
    memory.moveTokens = std::min(memory.moveTokens + elapsed * perSecond, std::max(1.0, burstSeconds * perSecond));
    memory.tokensAt = round.now;
    const auto isLeaving = [&](const schema::LedgerEntryT& entry) {
        const auto vm = round.targets->vms.find(VmId(entry.worker));
        return vm != round.targets->vms.end() && vm->second.leaving;
    };
    const auto budget = static_cast<unsigned>(memory.moveTokens);
    const bool isOut = round.isDomainOut();
    const auto moved = ledger::requestStops(record, isOut ? EndReason::DomainOut : EndReason::Rebalance, budget,
        [&](const schema::LedgerEntryT& entry) { return isOut || isLeaving(entry); });
    memory.moveTokens -= moved;
    return moved;
}

unsigned LedgerDriver::applyPolicyStops(schema::ShardRecordT& record, ShardMemory& memory) const
{
    unsigned stopped = 0;
    for (const auto& [key, reason] : memory.policyStops)
        stopped += ledger::requestStops(record, reason, 1, [&key = key](const auto& entry) { return keyOf(entry) == key; });
    return stopped;
}

unsigned LedgerDriver::returnWaiting(schema::ShardRecordT& record, const Round& round, ShardMemory& memory) const
{
    if (round.isDomainOut() && schema::isGuardOn(m_context.settings, schema::Guard::StartGate))
        return ledger::returnUnplaced(record, EndReason::DomainOut, [](const AttemptKey&) { return true; });
    return ledger::returnUnplaced(record, EndReason::NoSuchCapacity, [&](const AttemptKey& key) {
        // Another shard would only have it wait there.
        if (placement::isBackingOff(memory.failures, key.task, round.now))
            return false;
        const auto [it, isNew] = memory.waitingSince.try_emplace(key, round.now);
        return round.now - it->second >= maxWaitForPlace;
    });
}

std::vector<std::string> LedgerDriver::failedWorkersOf(const TaskId& task) const
{
    const auto job = m_context.jobs.find(task.job);
    const bool isKnown = job.record && task.index < job.record->tasks.size();
    return isKnown ? job.record->tasks[task.index]->failed_workers : std::vector<std::string>();
}

unsigned LedgerDriver::placeWaiting(schema::ShardRecordT& record, const Round& round, ShardMemory& memory) const
{
    if (!round.mayStart)
        return 0;
    const auto source = sourceOf(record, memory, round);
    auto view = makeView(source);
    return ledger::placeAssigned(record, [&](const schema::LedgerEntryT& entry) -> std::optional<VmId> {
        const auto task = taskOf(source, entry);
        if (placement::isBackingOff(memory.failures, task.task, round.now))
            return std::nullopt;
        const auto choice = chooseAvoiding(view, task, failedWorkersOf(task.task), round.now);
        if (!choice) {
            memory.refusals[keyOf(entry)] = choice.error();
            return std::nullopt;
        }
        if (schema::isGuardOn(m_context.settings, schema::Guard::ResourceLimit))
            placement::addTask(view, *choice, task, task.demand);
        const auto& vm = view.workers[*choice].vm;
        if (!schema::isGuardOn(m_context.settings, schema::Guard::CommitBeforeStart))
            memory.uncommittedStarts.emplace_back(vm, entry);
        return vm;
    });
}

// Stops batch tasks for a standing task that found no place. The place is free once the worker has confirmed the stops.
unsigned LedgerDriver::preemptForStanding(schema::ShardRecordT& record, const Round& round, ShardMemory& memory) const
{
    if (!round.mayStart)
        return 0;
    unsigned stopped = 0;
    for (std::size_t i = 0; i < record.entries.size(); ++i) {
        const auto& entry = *record.entries[i];
        const auto key = keyOf(entry);
        if (entry.state != TaskState::Assigned || entry.kind != schema::JobKind::Standing)
            continue;
        const auto last = memory.preemptedAt.find(key);
        if (last != memory.preemptedAt.end() && round.now - last->second < preemptionInterval)
            continue;
        const auto source = sourceOf(record, memory, round);
        const auto choice = placement::choosePreemption(
            makeView(source), taskOf(source, entry), runningBatch(source), teamUse(m_context), fleetCapacity(*round.targets), round.now);
        if (!choice)
            continue;
        memory.preemptedAt[key] = round.now;
        stopped += ledger::requestStops(
            record, EndReason::Preempted, static_cast<unsigned>(choice->victims.size()), [&](const schema::LedgerEntryT& other) {
                return std::ranges::find(choice->victims, keyOf(other).task) != choice->victims.end();
            });
    }
    return stopped;
}

ShardViewSource LedgerDriver::sourceOf(const schema::ShardRecordT& record, const ShardMemory& memory, const Round& round) const
{
    return { round.owned.shard, record, memory, m_context.table.learned, *round.config, *round.targets, m_context.settings, round.now };
}

void LedgerDriver::finishRound(const ShardId& shard, const schema::ShardRecordT& before, const schema::ShardRecordT& after)
{
    auditChanges(before, after);
    const auto live = keysOf(after, [](TaskState state) { return !ledger::isEnded(state); });
    const auto waiting = keysOf(after, [](TaskState state) { return state == TaskState::Assigned; });
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(shard);
    if (it == m_context.table.shards.end())
        return;
    auto& memory = it->second;
    memory.nextCommitAt = m_context.clock.now() + Milliseconds(m_context.settings.ledger_commit_ms);
    memory.outcomes = outcomesLeft(memory.outcomes, after);
    keepOnly(memory.checkpoints, live);
    keepOnly(memory.confirmed.starts, live);
    keepOnly(memory.confirmed.stops, live);
    keepOnly(memory.maybeStarted, live);
    keepOnly(memory.waitingSince, waiting);
    keepOnly(memory.refusals, waiting);
    keepOnly(memory.preemptedAt, waiting);
    keepOnly(memory.policyStops, keysOf(after, [](TaskState state) { return state == TaskState::Running; }));
    dropUsageOfEnded(after, memory, m_context.table.learned);
    const auto isDone = [this](const JobName& name) { return this->isDone(name); };
    std::erase_if(m_context.table.learned.evictedSizes, [&](const auto& entry) { return isDone(entry.first.job); });
    tidyFailures(after, memory, isDone);
}

bool LedgerDriver::isDone(const JobName& name) const
{
    const auto job = m_context.jobs.find(name);
    return !job.record || job.record->done;
}

void LedgerDriver::auditChanges(const schema::ShardRecordT& before, const schema::ShardRecordT& after) const
{
    for (const auto& entry : after.entries) {
        const auto key = keyOf(*entry);
        const auto* old = ledger::findEntry(before, key);
        if (old && old->state == entry->state)
            continue;
        const auto figures = "shard=" + after.shard + " worker=" + entry->worker + " epoch=" + std::to_string(after.epoch);
        if (entry->state == TaskState::Starting)
            auditTask(m_context, key, "place", "Placed", figures);
        else if (entry->state == TaskState::Stopping)
            auditTask(m_context, key, "stop", schema::EnumNameEndReason(entry->end_reason), figures);
        else if (ledger::isEnded(entry->state)) {
            m_context.metrics.countEnd(entry->state, entry->end_reason);
            auditTask(m_context, key, "end", schema::EnumNameEndReason(entry->end_reason), figures);
        }
    }
}

void LedgerDriver::noteFailure(const ShardId& shard, UpdateErrorCode code)
{
    if (code != UpdateErrorCode::Declined)
        m_context.metrics.failedCommits.Increment();
    if (code == UpdateErrorCode::StoreUnavailable || code == UpdateErrorCode::OutcomeUnknown)
        m_context.backoff.failed(m_context.clock.now());
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(shard);
    if (it == m_context.table.shards.end())
        return;
    const Milliseconds interval(m_context.settings.ledger_commit_ms);
    it->second.nextCommitAt = m_context.clock.now() + (code == UpdateErrorCode::Declined ? std::min(interval, idleRoundDelay) : interval);
}

std::vector<schema::CapacityFigureT> LedgerDriver::capacityFigures() const
{
    std::vector<schema::CapacityFigureT> figures;
    const auto targets = m_context.targets.snapshot();
    const auto config = m_context.config.snapshot();
    const auto now = m_context.clock.now();
    for (const auto& owned : m_context.ownership.ownedShards()) {
        const auto record = m_context.records.find(owned.shard);
        if (!record || !isCurrent(*record, owned))
            continue;
        schema::CapacityFigureT figure;
        figure.shard = owned.shard.value();
        figure.epoch = owned.epoch.value();
        if (mayStart(m_context, owned)) {
            const std::scoped_lock lock(m_context.table.mutex);
            const auto memory = m_context.table.shards.find(owned.shard);
            if (memory == m_context.table.shards.end())
                continue;
            const Round round { owned, now, true, config, targets, {}, {}, {} };
            const auto source = sourceOf(*record, memory->second, round);
            for (const auto& worker : makeView(source).workers) {
                const bool isUsable = !worker.leaving && !worker.isSilent && (!worker.quarantinedUntil || now >= *worker.quarantinedUntil);
                if (!isUsable)
                    continue;
                const auto free = placement::freeAmounts(worker);
                figure.free_cpu_millis += free.cpu.value();
                figure.free_memory_mb += free.memory.value();
                figure.free_accelerators += free.accelerators.value();
                figure.largest_cpu_millis = std::max(figure.largest_cpu_millis, free.cpu.value());
                figure.largest_memory_mb = std::max(figure.largest_memory_mb, free.memory.value());
            }
            for (const auto& entry : record->entries) {
                if (entry->state != TaskState::Assigned)
                    continue;
                const auto reserve = taskOf(source, *entry).demand;
                figure.free_cpu_millis -= reserve.cpu.value();
                figure.free_memory_mb -= reserve.memory.value();
                figure.free_accelerators -= reserve.accelerators.value();
            }
        }
        figures.push_back(figure);
    }
    return figures;
}

AttemptNote LedgerDriver::noteOf(const ShardId& shard, const VmId& vm, const AttemptKey& key) const
{
    AttemptNote note;
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(shard);
    if (it == m_context.table.shards.end())
        return note;
    const auto& memory = it->second;
    if (const auto refusal = memory.refusals.find(key); refusal != memory.refusals.end())
        note.refusal = refusal->second;
    note.isBackingOff = placement::isBackingOff(memory.failures, key.task, m_context.clock.now());
    const auto worker = memory.workers.find(vm);
    if (worker == memory.workers.end())
        return note;
    if (const auto share = worker->second.shares.find(key); share != worker->second.shares.end())
        note.sharePerMille = share->second.wanted;
    return note;
}

std::optional<std::string> LedgerDriver::quarantineOf(const ShardId& shard, const VmId& vm) const
{
    const std::scoped_lock lock(m_context.table.mutex);
    const auto it = m_context.table.shards.find(shard);
    if (it == m_context.table.shards.end())
        return std::nullopt;
    const auto now = m_context.clock.now();
    const auto standing = placement::standingOf(it->second.failures, vm, now);
    if (standing != placement::WorkerStanding::Healthy)
        return placement::toString(standing);
    const auto worker = it->second.workers.find(vm);
    const bool isQuarantined
        = worker != it->second.workers.end() && worker->second.quarantinedUntil && now < *worker->second.quarantinedUntil;
    return isQuarantined ? std::optional<std::string>("Quarantined") : std::nullopt;
}

} // namespace kingcuploom
