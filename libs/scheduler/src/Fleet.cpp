#include "scheduler/Fleet.h"

#include "scheduler/Pacing.h"
#include "scheduler/Runs.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Wait at a worker for an end. Progress and tail latencies are as old as this at most.
    constexpr Milliseconds pollWait { 1000 };
    // Where serving and filling tasks share a worker, tail latencies decide on the pace.
    constexpr Milliseconds pacingPollWait { 500 };
    // An idle worker is looked at to keep its clock known.
    constexpr Milliseconds idlePollInterval { 5000 };
    // Between two looks, so that ends that come together are taken together.
    constexpr Milliseconds pollDelay { 20 };
    // A worker answers a look at once while ends are not acknowledged.
    constexpr Milliseconds uncommittedPollDelay { 80 };
    constexpr Milliseconds failedPollDelay { 250 };
    // A worker that is not listed and runs nothing is forgotten after this time.
    constexpr Milliseconds unlistedRetention { 2000 };
    // Inventories in a row without the worker before it counts as gone; a single one may be older than the worker's start.
    constexpr unsigned minMissedInventories = 2;
    // Work that a leaving worker may still finish is left to it for this time.
    constexpr Milliseconds drainGracePeriod { 1200 };

    void resetIncarnation(Worker& worker, Born born)
    {
        worker.born = born;
        worker.clockMs.reset();
        worker.hasSeenFence = false;
        worker.lastSeenEnd = {};
        worker.lastCommittedEnd = {};
        worker.uncommittedEnds.clear();
        worker.health = {};
        worker.paces.clear();
        worker.paceTrim = 1.0;
        worker.minSlacks.clear();
        worker.missedPolls = 0;
    }

    // Runs of the earlier incarnation ended with it. A start that was under way may have reached the new one.
    void onNewIncarnation(State& state, Worker& worker, Born born, MonotonicTime now, Orders& orders)
    {
        const bool isFirstSeen = worker.born == Born();
        orders.emplace_back(Decision { isFirstSeen ? "worker_seen" : "worker_restarted", {}, worker.id, "new_incarnation", {},
            static_cast<std::int64_t>(worker.runs.size()) });
        const auto earlier = worker.born;
        resetIncarnation(worker, born);
        const auto refs = worker.runs;
        for (const auto& ref : refs) {
            auto* run = findRun(state, ref);
            if (!run || run->born == born)
                continue;
            const bool isOfEarlierIncarnation = run->isListed || run->phase == RunPhase::Unverified || run->born != earlier;
            if (isOfEarlierIncarnation || run->phase == RunPhase::Recording)
                releaseRun(state, ref, now);
            else
                stopRun(state, ref, StopReason::UncertainStart, now, orders);
        }
    }

    void processListedRun(State& state, Worker& worker, const ListedRun& listed, MonotonicTime now, Orders& orders)
    {
        auto* run = findRun(state, listed.run);
        if (!run || run->worker != worker.id) {
            orders.emplace_back(Decision { "run_unknown", toString(listed.run), worker.id, "stopped", {}, listed.percent });
            orders.emplace_back(StopOrder { listed.run, worker.id, StopReason::JobEnded });
            return;
        }
        const bool isNew = run->phase == RunPhase::Starting || run->phase == RunPhase::Unverified;
        if (isNew) {
            run->startConfirmedAt = now;
            run->percentChangedAt = now;
            // An earlier leader may have paced it.
            if (run->phase == RunPhase::Unverified)
                run->confirmedPace = unknownPace;
            run->phase = RunPhase::Running;
            auto* job = findJob(state, listed.run.task.job);
            if (job->state == schema::JobState::Queued)
                job->state = schema::JobState::Running;
        }
        if (!run->isListed || run->percent != listed.percent)
            run->percentChangedAt = now;
        run->isListed = true;
        run->born = worker.born;
        run->percent = listed.percent;
        run->figure = listed.figure;
        run->checkpoint = listed.checkpoint;
        const bool isUnneeded = hasEnded(*findJob(state, listed.run.task.job)) || findTask(state, listed.run.task)->isDone;
        if (isUnneeded)
            stopRun(state, listed.run, StopReason::JobEnded, now, orders);
    }

    // A run that the worker should list and does not.
    void processMissingRun(State& state, Worker& worker, const RunRef& ref, MonotonicTime sentAt, MonotonicTime now, Orders& orders)
    {
        const auto* run = findRun(state, ref);
        if (!run)
            return;
        const bool wasStarted = run->startConfirmedAt && *run->startConfirmedAt < sentAt;
        const bool wasStopped = run->stopConfirmedAt && *run->stopConfirmedAt < sentAt;
        // The fence of this term keeps a late start order of an earlier leader from being carried out.
        const bool isOfEarlierTerm = run->phase == RunPhase::Unverified;
        const bool isGone = run->phase == RunPhase::Stopping ? wasStopped : (wasStarted || isOfEarlierTerm);
        if (!isGone)
            return;
        orders.emplace_back(Decision { "run_missing", toString(ref), worker.id, isOfEarlierTerm ? "never_started" : "not_listed",
            std::chrono::duration_cast<Milliseconds>(now - sentAt), run->percent });
        releaseRun(state, ref, now);
    }

    bool hasPacing(const Worker& worker) { return worker.servingCpuMillis > 0 && worker.fillingCpuMillis > 0; }

    Milliseconds getPollWait(const Worker& worker)
    {
        if (worker.runs.empty())
            return Milliseconds(0);
        return hasPacing(worker) ? pacingPollWait : pollWait;
    }

    void stopRunsOnDrainingWorker(State& state, Worker& worker, MonotonicTime now, Orders& orders)
    {
        if (now - worker.drainingSince < drainGracePeriod)
            return;
        const auto refs = worker.runs;
        std::ranges::for_each(refs, [&](const RunRef& ref) { stopRun(state, ref, StopReason::WorkerLeaving, now, orders); });
    }

} // namespace

void onWorkerListed(State& state, const WorkerEntry& entry, MonotonicTime now, Orders& orders)
{
    auto& worker = state.workers[entry.id];
    worker.id = entry.id;
    // An entry may be older than what the worker itself has said.
    if (entry.born > worker.born)
        onNewIncarnation(state, worker, entry.born, now, orders);
    if (entry.born < worker.born)
        return;
    worker.service = entry.service;
    worker.address = entry.address;
    worker.domain = entry.domain;
    worker.rack = entry.rack;
    worker.labels = entry.labels;
    worker.capacity = entry.capacity;
    worker.isListed = true;
    if (entry.isDraining && !worker.isDraining)
        worker.drainingSince = now;
    worker.isDraining = entry.isDraining;
}

void onWorkerUnlisted(State& state, const WorkerId& id, MonotonicTime now)
{
    auto* worker = findWorker(state, id);
    if (!worker || !worker->isListed)
        return;
    worker->isListed = false;
    worker->unlistedSince = now;
}

std::optional<std::int64_t> extendLease(const State& state, Worker& worker, MonotonicTime now)
{
    if (!worker.clockMs)
        return std::nullopt;
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - worker.clockAt);
    const auto& parameters = state.parameters;
    const auto until = *worker.clockMs + elapsed.count() + parameters.lease.count();
    // A slow clock reaches that time later than ours says.
    const auto longest = (elapsed + parameters.lease) * (100 + 2 * parameters.clockSlowPercent) / 100;
    worker.leaseEnd = std::max(worker.leaseEnd, worker.clockAt + longest);
    return until;
}

void onPollReport(State& state, const WorkerId& id, const PollReport& report, MonotonicTime sentAt, MonotonicTime now, std::int64_t wallMs,
    Orders& orders)
{
    auto* worker = findWorker(state, id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    if (report.born < worker->born)
        return;
    if (report.born > worker->born)
        onNewIncarnation(state, *worker, report.born, now, orders);
    // Until now an earlier leader may have extended the leases on the worker; from now on the fence keeps it from doing so.
    if (!worker->hasSeenFence)
        worker->leaseEnd = std::max(worker->leaseEnd, now + state.parameters.lease * (100 + 2 * state.parameters.clockSlowPercent) / 100);
    worker->hasSeenFence = true;
    worker->lastAnswerAt = now;
    worker->missedPolls = 0;
    worker->clockMs = report.clockMs;
    worker->clockAt = now;
    const auto before = worker->runs;
    for (const auto& end : report.ends) {
        if (end.number > worker->lastSeenEnd)
            onEnd(state, *worker, end, now, wallMs, orders);
    }
    std::set<RunRef> listed;
    for (const auto& run : report.running) {
        listed.insert(run.run);
        processListedRun(state, *worker, run, now, orders);
    }
    for (const auto& ref : before) {
        if (!listed.contains(ref) && worker->runs.contains(ref))
            processMissingRun(state, *worker, ref, sentAt, now, orders);
    }
    controlPace(state, *worker, now, orders);
    const auto pause = worker->uncommittedEnds.empty() ? pollDelay : uncommittedPollDelay;
    worker->nextPollAt = now + (worker->runs.empty() && worker->uncommittedEnds.empty() ? idlePollInterval : pause);
}

void onPollFailure(State& state, const WorkerId& id, PollFailure failure, MonotonicTime now)
{
    auto* worker = findWorker(state, id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    ++worker->missedPolls;
    worker->nextPollAt = now + failedPollDelay * std::min(worker->missedPolls, 4U);
    if (failure == PollFailure::OtherIncarnation)
        worker->health.avoidUntil = now + failedPollDelay * 4;
}

void onInventory(State& state, const std::set<WorkerId>& living, MonotonicTime sentAt, MonotonicTime now, Orders& orders)
{
    for (auto& [id, worker] : state.workers) {
        const bool isAbsent = !living.contains(id) && worker.lastAnswerAt < sentAt;
        worker.missedInventories = isAbsent ? worker.missedInventories + 1 : 0;
        if (worker.missedInventories < minMissedInventories || worker.runs.empty())
            continue;
        orders.emplace_back(Decision { "worker_gone", {}, id, "not_in_inventory",
            std::chrono::duration_cast<Milliseconds>(now - worker.lastAnswerAt), static_cast<std::int64_t>(worker.runs.size()) });
        const auto refs = worker.runs;
        std::ranges::for_each(refs, [&](const RunRef& ref) { releaseRun(state, ref, now); });
        // A start that was under way finds no worker; a returning one is a new incarnation.
        worker.isListed = false;
        worker.unlistedSince = now;
    }
}

bool hasUnresponsiveRuns(const State& state)
{
    return std::ranges::any_of(state.workers, [](const auto& entry) {
        const auto& worker = entry.second;
        return !worker.runs.empty() && (worker.missedPolls > 0 || !worker.isListed || worker.missedInventories > 0);
    });
}

void schedulePolls(State& state, MonotonicTime now, Orders& orders)
{
    for (auto& [id, worker] : state.workers) {
        const bool isReachable = !worker.address.empty() && (worker.isListed || !worker.runs.empty());
        // An idle worker that got a task is looked at soon.
        const bool isDue = worker.nextPollAt <= now || (!worker.runs.empty() && worker.nextPollAt > now + failedPollDelay * 4);
        if (worker.isPollInFlight || !isReachable || !isDue)
            continue;
        advanceEndCursor(state, worker);
        worker.isPollInFlight = true;
        const bool isFirst = !worker.hasSeenFence || worker.missedPolls > 0;
        orders.emplace_back(PollOrder { id, isFirst ? Milliseconds(0) : getPollWait(worker) });
    }
}

void checkWorkers(State& state, MonotonicTime now, Orders& orders)
{
    for (auto& [id, worker] : state.workers) {
        if (worker.isDraining && worker.hasSeenFence)
            stopRunsOnDrainingWorker(state, worker, now, orders);
    }
    std::erase_if(state.workers, [&](const auto& entry) {
        const auto& worker = entry.second;
        return !worker.isListed && worker.runs.empty() && !worker.isPollInFlight && now - worker.unlistedSince > unlistedRetention;
    });
}

} // namespace kingcuploom::scheduler
