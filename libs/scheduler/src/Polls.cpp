#include "scheduler/Polls.h"

#include "scheduler/EndAcks.h"
#include "scheduler/Fences.h"
#include "scheduler/Fleet.h"
#include "scheduler/Leases.h"
#include "scheduler/Pacing.h"
#include "scheduler/RunEnds.h"
#include "scheduler/Runs.h"
#include "scheduler/Suspects.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Long-poll time at a worker. It bounds the age of progress and tail latency readings.
    constexpr Milliseconds pollWait { 1000 };
    // Shorter where serving and filling tasks share a worker, because paces are derived from the tail latencies.
    constexpr Milliseconds pacingPollWait { 500 };
    // Idle workers are polled to keep the reading of their clock fresh.
    constexpr Milliseconds idlePollInterval { 5000 };
    // Delay between two polls, which batches ends that occur close together.
    constexpr Milliseconds pollDelay { 20 };
    // Longer while ends are not acknowledged, because the worker then answers polls immediately.
    constexpr Milliseconds uncommittedPollDelay { 80 };
    // Longer still while they wait for starts that may be carried out late, which takes seconds.
    constexpr Milliseconds heldEndsPollDelay { 200 };
    constexpr Milliseconds failedPollDelay { 250 };
    // The leader suspects its own link when this many workers with runs, and this share of them, do not answer.
    constexpr std::size_t minSilentWorkers = 3;
    constexpr std::size_t minSilentPercent = 25;
    // A worker that reported less than this before is taken for the same incarnation.
    constexpr Milliseconds confirmedTime { 1000 };

    void processListedRun(State& state, Worker& worker, const ListedRun& listed, MonotonicTime now, Orders& orders)
    {
        const auto [job, task, run] = findRunEntry(state, listed.run);
        if (!run || run->worker != worker.id) {
            orders.emplace_back(Decision { "run_unknown", toString(listed.run), worker.id, "stopped", {}, listed.percent });
            orders.emplace_back(StopOrder { listed.run, worker.id, StopReason::JobEnded });
            worker.hasUnknownRuns = true;
            return;
        }
        const bool isNew = run->phase != RunPhase::Running && run->phase != RunPhase::Stopping;
        const bool isTakenOver = run->phase == RunPhase::Unverified;
        if (isNew) {
            run->startConfirmedAt = now;
            run->percentChangedAt = now;
            // An earlier leader may have changed the pace.
            if (isTakenOver)
                run->confirmedPace = unknownPace;
            run->phase = RunPhase::Running;
            worker.health.unacceptedStarts = 0;
            if (job->state == schema::JobState::Queued)
                job->state = schema::JobState::Running;
        }
        if (!run->isListed || run->percent != listed.percent)
            run->percentChangedAt = now;
        const bool wereStartsAnswered = run->wasConfirmed && !mayArriveLate(*run);
        const bool isBornKnown = run->born == worker.born;
        run->isListed = true;
        run->wasConfirmed = true;
        run->born = worker.born;
        // The earlier leader has sent one start, which has been carried out.
        const bool wasStartedOnce = run->hasUnknownStarts && run->areStartsTracked && !run->hadUnansweredStart;
        // This incarnation has carried out by now what was sent to it, and refuses what was sent to former ones.
        if (wasStartedOnce || !mayArriveAfter(state, *run, now)) {
            run->openStarts = 0;
            run->hasUnknownStarts = false;
            run->hadUnansweredStart = false;
        }
        if (isTakenOver)
            reportOpenStarts(listed.run, *run, "taken_over", now, orders);
        if (!(wereStartsAnswered && isBornKnown) && !mayArriveLate(*run))
            storeAnsweredStarts(state, *job, listed.run.task, now);
        run->percent = listed.percent;
        run->figure = listed.figure;
        run->checkpoint = listed.checkpoint;
        const bool isUnneeded = hasEnded(*job) || task->isDone;
        if (isUnneeded)
            stopRun(state, listed.run, StopReason::JobEnded, now, orders);
    }

    // Returns the recorded runs of the worker that neither run nor have ended, as far as its report can tell.
    std::vector<RunRef> findMissingRuns(const Worker& worker, const PollReport& report)
    {
        // Any of them may have ended behind the last end that is listed. The next reports list it, once these are acknowledged.
        if (report.areEndsCut)
            return {};
        std::vector<const RunRef*> listed;
        std::ranges::transform(report.running, std::back_inserter(listed), [](const ListedRun& it) { return &it.run; });
        const auto dereference = [](const RunRef* it) -> const RunRef& { return *it; };
        std::ranges::sort(listed, {}, dereference);
        std::vector<RunRef> missing;
        std::ranges::copy_if(worker.runs, std::back_inserter(missing),
            [&](const RunRef& ref) { return !std::ranges::binary_search(listed, ref, {}, dereference); });
        return missing;
    }

    // Handles a recorded run that the worker's report does not list.
    void processMissingRun(State& state, Worker& worker, const RunRef& ref, MonotonicTime sentAt, MonotonicTime now, Orders& orders)
    {
        const auto* run = findRun(state, ref);
        if (!run)
            return;
        const bool wasStarted = run->startConfirmedAt && *run->startConfirmedAt < sentAt;
        const bool wasStopped = run->stopConfirmedAt && *run->stopConfirmedAt < sentAt;
        // The fencing token of this term prevents late start orders of earlier leaders from being executed.
        const bool isOfEarlierTerm = run->phase == RunPhase::Unverified;
        // A worker that answers polls, but no stops, refuses starts after their deadline.
        const bool areStartsOver = run->startsExpireAt && *run->startsExpireAt < sentAt && run->born == worker.born;
        const bool isRuledOut = isOfEarlierTerm && worker.hasSeenFence;
        const bool isGone = run->phase == RunPhase::Stopping ? (wasStopped || areStartsOver) : (wasStarted || isRuledOut);
        if (!isGone)
            return;
        // The worker was lost before this leader knew it.
        if (isOfEarlierTerm && run->born != worker.born)
            return loseRun(state, ref, assessLoss(state, worker, LossKind::Unexplained), now, orders);
        orders.emplace_back(Decision { "run_missing", toString(ref), worker.id, isOfEarlierTerm ? "never_started" : "not_listed",
            std::chrono::duration_cast<Milliseconds>(now - sentAt), run->percent });
        releaseRun(state, ref, now);
    }

    void recordEndsCut(Worker& worker, const PollReport& report, Orders& orders)
    {
        if (std::exchange(worker.areEndsCut, report.areEndsCut) == report.areEndsCut)
            return;
        orders.emplace_back(Decision { report.areEndsCut ? "ends_cut" : "ends_complete", {}, worker.id, "report_size", {},
            static_cast<std::int64_t>(worker.uncommittedEnds.size()) });
    }

    bool needsPacing(const Worker& worker) { return worker.servingCpuMillis > 0 && worker.fillingCpuMillis > 0; }

    // The stop of a run that never began produces no end, so a poll would wait in vain for one while the task cannot be placed again.
    bool hasStoppedUnlistedRun(State& state, const Worker& worker)
    {
        return std::ranges::any_of(worker.runs, [&](const RunRef& ref) {
            const auto* run = findRun(state, ref);
            return run && run->phase == RunPhase::Stopping && run->stopConfirmedAt && !run->isListed;
        });
    }

    Milliseconds getPollWait(State& state, const Worker& worker)
    {
        if (worker.runs.empty() || hasStoppedUnlistedRun(state, worker))
            return Milliseconds(0);
        return needsPacing(worker) ? pacingPollWait : pollWait;
    }

    // Returns true if a start on the worker has no answer and the worker does not list its run, so that it may still be carried out here or
    // in the next incarnation, and end unread.
    bool hasUnansweredStart(State& state, const Worker& worker, MonotonicTime now)
    {
        return std::ranges::any_of(worker.runs, [&](const RunRef& ref) {
            const auto* run = findRun(state, ref);
            return run && run->phase != RunPhase::Running && mayArriveAfter(state, *run, now);
        });
    }

    // Workers with runs, and those of them that do not answer.
    struct AnswerCount {
        std::size_t workers = 0;
        std::size_t silent = 0;

        bool isMostlySilent() const { return silent > 0 && silent * 100 >= workers * minSilentPercent; }
    };

    std::map<FailureDomain, AnswerCount> countAnswers(const State& state)
    {
        std::map<FailureDomain, AnswerCount> counts;
        for (const auto& [id, worker] : state.workers) {
            if (worker.runs.empty() || !worker.isListed)
                continue;
            auto& count = counts[worker.domain];
            ++count.workers;
            count.silent += worker.missedPolls > 0 ? 1 : 0;
        }
        return counts;
    }

    // A failure domain that is cut off is silent as a whole, and the others answer. A link that is full loses answers of all domains.
    bool isOwnLinkTheLikelyCause(const std::map<FailureDomain, AnswerCount>& counts)
    {
        AnswerCount total;
        for (const auto& [domain, count] : counts) {
            total.workers += count.workers;
            total.silent += count.silent;
        }
        const auto silentDomains = std::ranges::count_if(counts, [](const auto& entry) { return entry.second.isMostlySilent(); });
        const bool isWidespread = silentDomains > 1 || counts.size() == 1;
        return total.silent >= minSilentWorkers && total.isMostlySilent() && isWidespread;
    }

} // namespace

void onPollReport(State& state, const WorkerId& id, const PollReport& report, MonotonicTime sentAt, MonotonicTime now, std::int64_t wallMs,
    Orders& orders)
{
    auto* worker = findWorker(state, id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    if (!isPlausible(report.born, wallMs)) {
        orders.emplace_back(Decision { "worker_report_refused", {}, id, "start_time", {}, report.born.value() });
        return onPollFailure(state, id, PollFailure::Refused, now);
    }
    if (report.born < worker->born)
        return;
    if (report.born > worker->born)
        onNewIncarnation(state, *worker, report.born, now, orders);
    // Until the first answer to an order with the present fencing token, an order of an earlier leader, or one for a former incarnation,
    // may have extended the leases of this one.
    const bool isUnderFence = !worker->awaitsFence && worker->polledFence >= getFence(state, *worker);
    if (!worker->hasSeenFence && isUnderFence) {
        worker->leaseEnd = now + onLocalClock(state.parameters, state.parameters.maxLease);
        worker->hasSeenFence = true;
    }
    worker->lastAnswerAt = now;
    worker->reportedAt = now;
    worker->missedPolls = 0;
    worker->clockMs = report.clockMs;
    worker->clockAt = now;
    for (const auto& end : report.ends) {
        if (end.number > worker->lastSeenEnd)
            onEnd(state, *worker, end, now, wallMs, orders);
    }
    recordEndsCut(*worker, report, orders);
    worker->hasUnknownRuns = false;
    for (const auto& run : report.running)
        processListedRun(state, *worker, run, now, orders);
    for (const auto& ref : findMissingRuns(*worker, report))
        processMissingRun(state, *worker, ref, sentAt, now, orders);
    controlPace(state, *worker, now, orders);
    worker->acknowledgedEnd = std::max(worker->acknowledgedEnd, worker->polledEnd);
    const bool isAcknowledged = worker->acknowledgedEnd >= worker->lastCommittedEnd;
    const auto unacknowledgedDelay = worker->isHoldingEnds ? heldEndsPollDelay : uncommittedPollDelay;
    const auto pause = worker->uncommittedEnds.empty() && isAcknowledged ? pollDelay : unacknowledgedDelay;
    const bool isIdle = worker->runs.empty() && worker->uncommittedEnds.empty() && isAcknowledged && !worker->hasUnknownRuns;
    worker->nextPollAt = now + (isIdle ? idlePollInterval : pause);
}

void onPollFailure(State& state, const WorkerId& id, PollFailure failure, MonotonicTime now)
{
    auto* worker = findWorker(state, id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    // A start with a higher fencing token has overtaken the poll.
    if (failure == PollFailure::Fenced && worker->polledFence < getFence(state, *worker)) {
        worker->nextPollAt = now;
        return;
    }
    // The worker has seen a higher fencing token than this leader knows of. If it was one of this term, a higher one is accepted.
    if (failure == PollFailure::Fenced && state.committedRevision > getFence(state, *worker))
        raiseFence(state, *worker);
    if (failure == PollFailure::NoAnswer && worker->polledEnd != EndNumber())
        worker->unansweredAckFence = worker->polledFence;
    if (worker->missedPolls == 0)
        worker->silenceBeganAt = now;
    ++worker->missedPolls;
    worker->nextPollAt = now + failedPollDelay * std::min(worker->missedPolls, 4U);
    if (failure == PollFailure::OtherIncarnation)
        worker->health.avoidUntil = now + failedPollDelay * 4;
}

void checkOwnLink(State& state, Orders& orders)
{
    const auto counts = countAnswers(state);
    const bool wasSuspect = std::exchange(state.isOwnLinkSuspect, isOwnLinkTheLikelyCause(counts));
    if (wasSuspect == state.isOwnLinkSuspect)
        return;
    std::size_t silent = 0;
    std::ranges::for_each(counts, [&](const auto& entry) { silent += entry.second.silent; });
    orders.emplace_back(Decision { state.isOwnLinkSuspect ? "own_link_suspected" : "own_link_cleared", {}, {}, "silent_workers", {},
        static_cast<std::int64_t>(silent) });
}

void schedulePolls(State& state, MonotonicTime now, Orders& orders)
{
    for (auto& [id, worker] : state.workers) {
        const bool isReachable = !worker.address.empty() && (worker.isListed || !worker.runs.empty());
        // An idle worker that has received a task is polled without waiting for the idle interval.
        const bool isDue = worker.nextPollAt <= now || (!worker.runs.empty() && worker.nextPollAt > now + failedPollDelay * 4);
        if (worker.isPollInFlight || !isReachable || !isDue || worker.awaitsFence)
            continue;
        advanceEndCursor(state, worker, now, orders);
        worker.isPollInFlight = true;
        const bool isFirst = !worker.hasSeenFence || worker.missedPolls > 0;
        // A worker that has been silent may have restarted, so the number of an end could mean another end, and the lease would be one on
        // another clock. Also, leases of an unresponsive worker are left to expire, so that a run that cannot be stopped ends at a known
        // time.
        const bool isConfirmed = worker.missedPolls == 0 && now - worker.reportedAt < confirmedTime;
        const bool isAcknowledging
            = isConfirmed && worker.lastCommittedEnd > worker.acknowledgedEnd && !hasUnansweredStart(state, worker, now);
        worker.polledEnd = isAcknowledging ? worker.lastCommittedEnd : EndNumber();
        worker.polledFence = getFence(state, worker);
        orders.emplace_back(PollOrder { id, isFirst ? Milliseconds(0) : getPollWait(state, worker), worker.polledEnd, isConfirmed });
    }
}

} // namespace kingcuploom::scheduler
