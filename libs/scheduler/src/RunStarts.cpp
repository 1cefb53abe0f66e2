#include "scheduler/RunStarts.h"

#include "RejectReason.h"
#include "scheduler/Advice.h"
#include "scheduler/Fences.h"
#include "scheduler/Health.h"
#include "scheduler/Pacing.h"
#include "scheduler/Reservations.h"
#include "scheduler/Runs.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Delay before a task is placed again after its start was refused, which avoids repeated orders on a busy fleet.
    constexpr Milliseconds retryDelay { 50 };
    // Delay before a worker that refused a start is used again.
    constexpr Milliseconds refusalRetryDelay { 400 };
    // Time for which a worker that did not accept an order is avoided.
    constexpr Milliseconds unhealthyRetryDelay { 1500 };
    // Number of times that an unanswered start is resent, on new connections, before the run is stopped.
    constexpr unsigned maxStartRetries = 2;

    // The worker did not accept the start of the run. Without a mark it would stay empty, look best and be chosen again.
    void markUnacceptedStart(State& state, const RunRef& ref, const WorkerId& id, MonotonicTime now, Orders& orders)
    {
        if (auto* task = findTask(state, ref.task))
            preferOtherWorkers(*task, id);
        if (auto* worker = findWorker(state, id))
            recordUnacceptedStart(state, *worker, now, orders);
    }

    // The worker refused the order at once, so nothing is known to be wrong with its other tasks.
    void markRefusedStart(State& state, const RunRef& ref, const WorkerId& id, MonotonicTime now)
    {
        if (auto* task = findTask(state, ref.task))
            preferOtherWorkers(*task, id);
        auto* worker = findWorker(state, id);
        if (!worker)
            return;
        worker->health.avoidUntil = now + unhealthyRetryDelay;
        // Excluded for a shorter time, because the score of the only worker near the data can be the best in spite of the refusals.
        worker->refusedUntil = now + refusalRetryDelay;
    }

    // The worker has refused the last order, or it was withheld. That says nothing of an earlier one without an answer, which the worker
    // may still carry out: only a stop prevents it, and until then the run keeps its room and its task.
    void giveUpStart(State& state, const RunRef& ref, const Run& run, MonotonicTime now, Orders& orders)
    {
        if (mayArriveLate(run))
            return stopRun(state, ref, StopReason::UncertainStart, now, orders);
        releaseRun(state, ref, now);
    }

    void placeLater(State& state, const TaskRef& ref, MonotonicTime at)
    {
        if (auto* task = findTask(state, ref))
            task->notBefore = std::max(task->notBefore, at);
    }

    // A start for which the view is too old, whose permit has expired, or whose lease may not be extended stays recorded and is sent once
    // it can be. To place the task again instead could go on without end, because the next commit may return too late as well.
    void holdStart(State& state, const RunRef& ref, Run& run)
    {
        run.phase = RunPhase::Recorded;
        state.recordedRuns.push_back(ref);
    }

    // In order of precedence for a gang, whose members are sent together.
    enum class Readiness {
        Ready,
        // Its worker awaits a fencing token.
        WaitsForFence,
        WaitsForPermit,
        // The worker is not open any more, has become too small, or the adviser has denied it.
        Obsolete,
    };

    struct RecordedStart {
        RunRef ref;
        Readiness readiness = Readiness::Ready;
    };

    Readiness checkReadiness(const State& state, const Job& job, const RunRef& ref, const Worker& worker, MonotonicTime now)
    {
        const auto step = toStepRef(ref.task);
        if (!isOpen(state, worker) || !fitsCapacity(worker))
            return Readiness::Obsolete;
        if (!isAdvised(state, job) || findPermit(state, step, worker, now))
            return Readiness::Ready;
        return isBarred(state, step, worker) ? Readiness::Obsolete : Readiness::WaitsForPermit;
    }

    // Empties state.recordedRuns. A member of a gang is as ready as the least ready member, because one that is started alone ends.
    std::vector<RecordedStart> takeRecordedStarts(State& state, MonotonicTime now)
    {
        std::vector<RecordedStart> starts;
        std::map<StepRef, Readiness> gangs;
        for (const auto& ref : std::exchange(state.recordedRuns, {})) {
            const auto* run = findRun(state, ref);
            if (!run || run->phase != RunPhase::Recorded)
                continue;
            const auto& job = *findJob(state, ref.task.job);
            auto& worker = *findWorker(state, run->worker);
            auto readiness = checkReadiness(state, job, ref, worker, now);
            if (readiness == Readiness::Ready && !prepareStartFence(state, worker))
                readiness = Readiness::WaitsForFence;
            starts.push_back({ ref, readiness });
            if (getStepSpec(job, ref.task.step).gang)
                gangs[toStepRef(ref.task)] = std::max(gangs[toStepRef(ref.task)], readiness);
        }
        for (auto& start : starts) {
            if (const auto it = gangs.find(toStepRef(start.ref.task)); it != gangs.end())
                start.readiness = it->second;
        }
        return starts;
    }

    void requestMissingPermits(State& state, const std::vector<RecordedStart>& starts, MonotonicTime now, Orders& orders)
    {
        std::map<StepRef, std::set<WorkerId>> workers;
        for (const auto& [ref, readiness] : starts) {
            const auto* run = readiness == Readiness::WaitsForPermit ? findRun(state, ref) : nullptr;
            if (run && !findPermit(state, toStepRef(ref.task), *findWorker(state, run->worker), now))
                workers[toStepRef(ref.task)].insert(run->worker);
        }
        for (const auto& [step, ids] : workers)
            requestAdvice(state, step, { ids.begin(), ids.end() }, now, orders);
    }

} // namespace

namespace {

    void emitStart(State& state, const RunRef& ref, Run& run, bool isRepeat, MonotonicTime now, Orders& orders)
    {
        run.orderedAt = now;
        run.isOrderInFlight = true;
        ++run.openStarts;
        ++run.startsInFlight;
        run.lastStartAt = now;
        if (const auto* worker = findWorker(state, run.worker))
            run.startFence = getFence(state, *worker);
        onStartSent(state.startWindow);
        orders.emplace_back(StartOrder { ref, run.worker, isRepeat });
    }

    bool isUnanswered(StartResult result) { return result == StartResult::NoAnswer || result == StartResult::DeliveredUnanswered; }

    // The order in question is the last one at the latest.
    MonotonicTime computeStartEnd(const Parameters& parameters, const Run& run, StartResult result, MonotonicTime now)
    {
        const auto sentBound = run.lastStartAt + parameters.maxOrderDelay;
        const bool isReceived = result == StartResult::DeliveredUnanswered;
        return isReceived ? std::min(sentBound, now + parameters.maxExecutionDelay) : sentBound;
    }

    // A run of which this is not stored was started once at most. So the next leader, if a worker lists it, knows that no start of it is
    // left.
    void recordUnansweredStart(State& state, const RunRef& ref, Run& run, StartResult result, MonotonicTime now)
    {
        run.unansweredStartAt = run.lastStartAt;
        run.unansweredStartsEndAt = std::max(run.unansweredStartsEndAt, computeStartEnd(state.parameters, run, result, now));
        if (std::exchange(run.hadUnansweredStart, true))
            return;
        auto& job = *findJob(state, ref.task.job);
        markDirty(state, job, now, true);
        run.recordedInVersion = job.version;
    }

    void recordConfirmedStart(State& state, const RunRef& ref, Run& run, MonotonicTime now)
    {
        run.startConfirmedAt = now;
        const bool isNew = !std::exchange(run.wasConfirmed, true);
        if (isNew && !mayArriveLate(run))
            storeAnsweredStarts(state, *findJob(state, ref.task.job), ref.task, now);
    }

    bool isWithheld(StartResult result)
    {
        return result == StartResult::NotSent || result == StartResult::StaleView || result == StartResult::WorkerLeaving
            || result == StartResult::PermitExpired || result == StartResult::StoreSilent || result == StartResult::RelayLost;
    }

    void updateWindow(StartWindow& window, const Run* run, StartResult result, MonotonicTime now)
    {
        if (!run || isWithheld(result))
            return onStartWithheld(window);
        if (isUnanswered(result))
            return onStartUnanswered(window);
        onStartAnswered(window, std::chrono::duration_cast<Milliseconds>(now - run->orderedAt));
    }

} // namespace

void onCommitted(State& state, const GraphJobId& id, ProgressVersion version, Revision recordRevision)
{
    auto* job = findJob(state, id);
    if (!job)
        return;
    job->committed = version;
    job->recordRevision = recordRevision;
    onTermCommit(state, recordRevision);
    job->isCommitInFlight = false;
    for (auto& [number, occurrence] : job->occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                for (auto& run : tasks[index].runs) {
                    if (run.phase != RunPhase::Recording || run.recordedInVersion > version)
                        continue;
                    holdStart(state, { { id, number, step, index }, run.number }, run);
                }
            }
        }
    }
}

void sendRecordedStarts(State& state, MonotonicTime now, Orders& orders)
{
    if (state.isViewStale)
        return;
    const auto starts = takeRecordedStarts(state, now);
    std::set<StepRef> begunGangs;
    for (const auto& [ref, readiness] : starts) {
        if (readiness == Readiness::Obsolete) {
            stopRun(state, ref, StopReason::UncertainStart, now, orders);
            continue;
        }
        // The members of a gang wait for each other at their workers, so one that has begun is sent whole.
        const bool isRoom = freeStarts(state.startWindow) > 0 || begunGangs.contains(toStepRef(ref.task));
        auto* run = findRun(state, ref);
        if (readiness != Readiness::Ready || !isRoom) {
            state.recordedRuns.push_back(ref);
            continue;
        }
        if (getStepSpec(*findJob(state, ref.task.job), ref.task.step).gang)
            begunGangs.insert(toStepRef(ref.task));
        run->phase = RunPhase::Starting;
        emitStart(state, ref, *run, run->startRetries > 0, now, orders);
    }
    requestMissingPermits(state, starts, now, orders);
}

void resendStart(State& state, const RunRef& ref, Run& run, MonotonicTime now, Orders& orders)
{
    // If the earlier start has not arrived, this one would exceed the capacity of a worker that has shrunk since, or executes another run.
    if (const auto* worker = findWorker(state, run.worker); worker && (worker->hasUnknownRuns || !fitsCapacity(*worker)))
        return stopRun(state, ref, StopReason::UncertainStart, now, orders);
    if (run.startRetries >= maxStartRetries) {
        markUnacceptedStart(state, ref, run.worker, now, orders);
        return stopRun(state, ref, StopReason::UncertainStart, now, orders);
    }
    ++run.startRetries;
    if (findJob(state, ref.task.job)->committed < run.recordedInVersion) {
        run.phase = RunPhase::Recording;
        return;
    }
    emitStart(state, ref, run, true, now, orders);
}

void onStartResult(State& state, const RunRef& ref, StartResult result, MonotonicTime now, Orders& orders)
{
    auto* run = findRun(state, ref);
    updateWindow(state.startWindow, run, result, now);
    if (!run)
        return;
    run->isOrderInFlight = false;
    if (run->startsInFlight > 0)
        --run->startsInFlight;
    if (isUnanswered(result))
        recordUnansweredStart(state, ref, *run, result, now);
    else if (run->openStarts > 0)
        --run->openStarts;
    if (result == StartResult::Started)
        recordConfirmedStart(state, ref, *run, now);
    auto* worker = findWorker(state, run->worker);
    if (run->phase != RunPhase::Starting) {
        // A stop was ordered in the meantime; its result decides the state of the run.
        return;
    }
    if (auto* task = findTask(state, ref.task))
        task->lastStartResult = toString(result);
    if (result != StartResult::Started)
        orders.emplace_back(Decision { "start_refused", toString(ref), run->worker, toString(result), {}, run->startRetries });
    switch (result) {
    case StartResult::Started: {
        run->phase = RunPhase::Running;
        run->percentChangedAt = now;
        if (worker) {
            worker->health.unacceptedStarts = 0;
            worker->lastAnswerAt = now;
            // Tasks start at full pace, so a lower one must be sent.
            sendPaces(state, *worker, orders);
        }
        auto* job = findJob(state, ref.task.job);
        if (job->state == schema::JobState::Queued)
            job->state = schema::JobState::Running;
        return;
    }
    case StartResult::StaleView:
    case StartResult::PermitExpired:
    case StartResult::StoreSilent:
    case StartResult::RelayLost:
        return holdStart(state, ref, *run);
    case StartResult::NoTicket:
        dropPermit(state, toStepRef(ref.task), run->worker);
        return giveUpStart(state, ref, *run, now, orders);
    case StartResult::NoRoom:
        if (worker)
            worker->refusedUntil = now + refusalRetryDelay;
        return giveUpStart(state, ref, *run, now, orders);
    case StartResult::Unhealthy:
    case StartResult::NotSent:
        markRefusedStart(state, ref, run->worker, now);
        return giveUpStart(state, ref, *run, now, orders);
    case StartResult::WorkerLeaving:
        if (worker)
            worker->health.avoidUntil = now + unhealthyRetryDelay;
        return giveUpStart(state, ref, *run, now, orders);
    case StartResult::Refused:
        markUnacceptedStart(state, ref, run->worker, now, orders);
        return stopRun(state, ref, StopReason::UncertainStart, now, orders);
    case StartResult::Fenced:
        // A start of another run with a higher fencing token has overtaken this one.
        if (worker && run->startFence < getFence(state, *worker))
            return resendStart(state, ref, *run, now, orders);
        [[fallthrough]];
    case StartResult::Superseded:
    case StartResult::Late:
        markRefusedStart(state, ref, run->worker, now);
        placeLater(state, ref.task, now + retryDelay);
        return giveUpStart(state, ref, *run, now, orders);
    case StartResult::NoAnswer:
    case StartResult::DeliveredUnanswered:
        return resendStart(state, ref, *run, now, orders);
    }
}

} // namespace kingcuploom::scheduler
