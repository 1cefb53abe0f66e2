#include "scheduler/Runs.h"

#include "JobRuns.h"
#include "scheduler/Advice.h"
#include "scheduler/Health.h"
#include "scheduler/Jobs.h"
#include "scheduler/Pacing.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Delay before a task is placed again after its start was refused, which avoids repeated orders on a busy fleet.
    constexpr Milliseconds retryDelay { 50 };
    // Delay before a worker that refused a start for lack of capacity is used again.
    constexpr Milliseconds capacityRetryDelay { 400 };
    // Time for which a worker that did not accept an order is avoided.
    constexpr Milliseconds unhealthyRetryDelay { 1500 };
    // Number of times that an unanswered start is resent, on new connections, before the run is stopped.
    constexpr unsigned maxStartRetries = 2;
    // Delay before an unanswered order is resent.
    constexpr Milliseconds resendDelay { 100 };
    // Maximum of the exponential backoff before a failing standing task is restarted.
    constexpr Milliseconds maxRestartDelay { 1000 };

    Resources computeReservation(const schema::StepSpecT& step)
    {
        // Filling tasks use the CPU that other tasks leave idle, and reserve none.
        return { step.fills ? 0 : step.cpu_millis, step.memory_mb, step.accelerators };
    }

    void updateReservedCpu(Worker& worker, const schema::StepSpecT& step, ImageNumber image, int sign)
    {
        worker.areExpectedLossesStale = true;
        if (step.fills) {
            worker.fillingCpuMillis += sign * step.cpu_millis;
            auto& size = worker.fillingImages[image];
            size += sign * step.cpu_millis;
            if (size == 0)
                worker.fillingImages.erase(image);
        } else if (step.long_running)
            worker.servingCpuMillis += sign * step.cpu_millis;
        if (step.target_ms == 0)
            return;
        auto& count = worker.servingImages[image];
        count += sign;
        if (count == 0)
            worker.servingImages.erase(image);
    }

    void failTask(State& state, Job& job, const TaskRef& ref, const Run& run, MonotonicTime now, std::int64_t wallMs, Orders& orders)
    {
        auto& step = job.occurrences.at(ref.occurrence).steps[ref.step];
        auto& task = step.tasks[ref.index];
        const auto& spec = getStepSpec(job, ref.step);
        const bool isNewGangFailure = !spec.gang || run.number.value() > step.gangFailures;
        ++task.failures;
        if (spec.gang && isNewGangFailure)
            step.gangFailures = run.number.value();
        task.failedOn.push_back(run.worker);
        const auto maxAttempts = std::max(getPolicy(state, job).max_attempts, 1U);
        if (spec.long_running) {
            const auto pause = std::min(maxRestartDelay, Milliseconds(25) * (1 << std::min(task.failures, 8U)));
            // The first three restarts are immediate, since occasional failures of a standing task are normal.
            task.notBefore = task.failures <= 3 ? now : now + pause;
            return;
        }
        if (task.failures < maxAttempts)
            return;
        orders.emplace_back(Decision { "job_failed", toString({ ref, run.number }), run.worker, "max_attempts", {}, task.failures });
        endJob(state, job, schema::JobState::Failed, now, wallMs);
        stopJobRuns(state, job, StopReason::JobEnded, now, orders);
    }

    void finishGang(State& state, Job& job, const TaskRef& ref, MonotonicTime now, std::int64_t wallMs)
    {
        // The end of one member completes the whole gang. The other members are about to end as well, so their runs are not stopped.
        const auto count = job.occurrences.at(ref.occurrence).steps[ref.step].tasks.size();
        for (std::uint32_t index = 0; index < count; ++index)
            finishTask(state, job, { ref.job, ref.occurrence, ref.step, index }, now, wallMs);
    }

    void stopCopies(State& state, const TaskRef& ref, MonotonicTime now, Orders& orders)
    {
        const auto* task = findTask(state, ref);
        std::vector<RunNumber> numbers;
        std::ranges::transform(task->runs, std::back_inserter(numbers), &Run::number);
        std::ranges::for_each(numbers, [&](RunNumber number) {
            stopRun(state, { ref, number }, StopReason::OtherCopyFinished, now, orders);
        });
    }

    void completeRun(State& state, Job& job, const RunRef& ref, MonotonicTime now, std::int64_t wallMs, Orders& orders)
    {
        if (getStepSpec(job, ref.task.step).gang)
            return finishGang(state, job, ref.task, now, wallMs);
        finishTask(state, job, ref.task, now, wallMs);
        stopCopies(state, ref.task, now, orders);
    }

    void releaseRefusedRun(State& state, const RunRef& ref, MonotonicTime now, Milliseconds pause)
    {
        if (auto* task = findTask(state, ref.task))
            task->notBefore = std::max(task->notBefore, now + pause);
        releaseRun(state, ref, now);
    }

    void releaseLapsedRun(State& state, const RunRef& ref, const Run& run, const Worker& worker, MonotonicTime now, Orders& orders)
    {
        orders.emplace_back(Decision { "run_lapsed", toString(ref), worker.id, "lease_over",
            std::chrono::duration_cast<Milliseconds>(now - worker.lastAnswerAt), run.percent });
        releaseRun(state, ref, now);
    }

    void resendStart(State& state, const RunRef& ref, Run& run, MonotonicTime now, Orders& orders)
    {
        if (run.startRetries >= maxStartRetries)
            return stopRun(state, ref, StopReason::UncertainStart, now, orders);
        ++run.startRetries;
        run.orderedAt = now;
        run.isOrderInFlight = true;
        orders.emplace_back(StartOrder { ref, run.worker, true });
    }

    // A start for which the view is too old stays recorded and is sent with the next fresh view. To place the task again instead could go
    // on without end, because the next commit may return when the view is old as well.
    void holdStart(State& state, const RunRef& ref, Run& run)
    {
        run.phase = RunPhase::Recorded;
        state.recordedRuns.push_back(ref);
    }

    void resendStop(const RunRef& ref, Run& run, MonotonicTime now, Orders& orders)
    {
        run.orderedAt = now;
        run.isOrderInFlight = true;
        orders.emplace_back(StopOrder { ref, run.worker, run.stopReason });
    }

    // Accounts for the lease extension of the order that is about to be sent.
    void extendLeaseEnd(State& state, const WorkerId& id, MonotonicTime now)
    {
        auto* worker = findWorker(state, id);
        const auto longest = state.parameters.lease * (100 + 2 * state.parameters.clockSlowPercent) / 100;
        if (worker)
            worker->leaseEnd = std::max(worker->leaseEnd, now + longest);
    }

    // Returns true if checkRun would order something for the run while its lease lasts.
    bool needsOrder(const Job& job, const Task& task, const Run& run, MonotonicTime now)
    {
        if (run.phase == RunPhase::Running)
            return hasEnded(job) || task.isDone;
        const bool isUnanswered = run.phase == RunPhase::Starting || (run.phase == RunPhase::Stopping && !run.stopConfirmedAt);
        return isUnanswered && !run.isOrderInFlight && now - run.orderedAt >= resendDelay;
    }

    // Almost no run needs a check, so those that may need one are found first.
    WorkerRuns collectRunsToCheck(const State& state, MonotonicTime now)
    {
        WorkerRuns runs;
        for (const auto& [id, worker] : state.workers) {
            if (now <= worker.leaseEnd)
                continue;
            for (const auto& ref : worker.runs)
                runs.emplace(id, ref);
        }
        const auto isWanted
            = [&](const Job& job, const schema::StepSpecT&, const Task& task, const Run& run) { return needsOrder(job, task, run, now); };
        collectRuns(state, isWanted, runs);
        return runs;
    }

    void checkRun(State& state, const RunRef& ref, Worker& worker, MonotonicTime now, Orders& orders)
    {
        auto* run = findRun(state, ref);
        if (!run || isUnsent(*run))
            return;
        const bool isUnneeded = hasEnded(*findJob(state, ref.task.job)) || findTask(state, ref.task)->isDone;
        if (run->phase == RunPhase::Running && isUnneeded)
            stopRun(state, ref, StopReason::JobEnded, now, orders);
        const bool isSent = run->phase != RunPhase::Unverified;
        const auto earlierTermLeaseEnd = state.termStartedAt + state.parameters.storeSilenceLimit
            + state.parameters.lease * (100 + 2 * state.parameters.clockSlowPercent) / 100;
        // An earlier leader may have extended the lease of its runs, so a worker that has not answered in this term may still execute them.
        const auto end = isSent && worker.hasSeenFence ? worker.leaseEnd : std::max(worker.leaseEnd, earlierTermLeaseEnd);
        if (now > end)
            return releaseLapsedRun(state, ref, *run, worker, now, orders);
        if (run->isOrderInFlight || now - run->orderedAt < resendDelay)
            return;
        if (run->phase == RunPhase::Starting)
            resendStart(state, ref, *run, now, orders);
        else if (run->phase == RunPhase::Stopping && !run->stopConfirmedAt)
            resendStop(ref, *run, now, orders);
    }

} // namespace

const char* toString(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "fenced";
    case StartResult::Superseded:
        return "old";
    case StartResult::Late:
        return "late";
    case StartResult::NoRoom:
        return "no_room";
    case StartResult::NoTicket:
        return "no_ticket";
    case StartResult::Unhealthy:
        return "unhealthy";
    case StartResult::Refused:
        return "refused";
    case StartResult::NotSent:
        return "not_sent";
    case StartResult::StaleView:
        return "view_old";
    case StartResult::WorkerLeaving:
        return "worker_leaving";
    case StartResult::PermitExpired:
        return "permit_expired";
    case StartResult::StoreSilent:
        return "store_silent";
    case StartResult::NoAnswer:
        break;
    }
    return "no_answer";
}

const char* toString(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::GangMemberEnded:
        return "broken";
    case EndKind::GangIncomplete:
        break;
    }
    return "alone";
}

void reserve(State& state, const RunRef& ref, const WorkerId& id)
{
    const auto* job = findJob(state, ref.task.job);
    auto& worker = state.workers[id];
    worker.id = id;
    if (!job || !worker.runs.insert(ref).second)
        return;
    const auto& step = getStepSpec(*job, ref.task.step);
    worker.reserved += computeReservation(step);
    updateReservedCpu(worker, step, job->images[ref.task.step], 1);
}

void unreserve(State& state, const RunRef& ref, const WorkerId& id)
{
    const auto* job = findJob(state, ref.task.job);
    auto* worker = findWorker(state, id);
    if (!job || !worker || worker->runs.erase(ref) == 0)
        return;
    const auto& step = getStepSpec(*job, ref.task.step);
    worker->reserved -= computeReservation(step);
    updateReservedCpu(*worker, step, job->images[ref.task.step], -1);
}

void releaseRun(State& state, const RunRef& ref, MonotonicTime now)
{
    auto* job = findJob(state, ref.task.job);
    auto* task = findTask(state, ref.task);
    const auto* run = findRun(state, ref);
    if (!job || !task || !run)
        return;
    unreserve(state, ref, run->worker);
    std::erase_if(task->runs, [&](const Run& it) { return it.number == ref.run; });
    if (!hasEnded(*job) && !task->isDone)
        markWaiting(state, *job);
    // Also stored for ended jobs, whose record shrinks with each run that is gone.
    markDirty(state, *job, now, false);
}

void stopRun(State& state, const RunRef& ref, StopReason reason, MonotonicTime now, Orders& orders)
{
    auto* run = findRun(state, ref);
    if (!run || run->phase == RunPhase::Stopping)
        return;
    if (isUnsent(*run))
        return releaseRun(state, ref, now);
    run->stopReason = reason;
    // For a run of an earlier leader, the worker is first polled for whether it exists.
    if (run->phase == RunPhase::Unverified && reason != StopReason::JobEnded)
        return;
    run->phase = RunPhase::Stopping;
    const auto* worker = findWorker(state, run->worker);
    const auto age = worker ? std::chrono::duration_cast<Milliseconds>(now - worker->lastAnswerAt) : Milliseconds(0);
    orders.emplace_back(Decision { "run_stop", toString(ref), run->worker, toString(reason), age, run->percent });
    resendStop(ref, *run, now, orders);
}

void stopJobRuns(State& state, const Job& job, StopReason reason, MonotonicTime now, Orders& orders)
{
    std::vector<RunRef> refs;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                for (const auto& run : tasks[index].runs)
                    refs.push_back({ { job.id, number, step, index }, run.number });
            }
        }
    }
    std::ranges::for_each(refs, [&](const RunRef& ref) { stopRun(state, ref, reason, now, orders); });
}

void onStartResult(State& state, const RunRef& ref, StartResult result, MonotonicTime now, Orders& orders)
{
    auto* run = findRun(state, ref);
    if (!run)
        return;
    run->isOrderInFlight = false;
    auto* worker = findWorker(state, run->worker);
    if (run->phase != RunPhase::Starting) {
        // A stop was ordered in the meantime; its result decides the state of the run.
        if (result == StartResult::Started)
            run->startConfirmedAt = now;
        return;
    }
    if (auto* task = findTask(state, ref.task))
        task->lastStartResult = toString(result);
    if (result != StartResult::Started)
        orders.emplace_back(Decision { "start_refused", toString(ref), run->worker, toString(result), {}, run->startRetries });
    switch (result) {
    case StartResult::Started: {
        run->phase = RunPhase::Running;
        run->startConfirmedAt = now;
        run->percentChangedAt = now;
        if (worker) {
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
        return holdStart(state, ref, *run);
    case StartResult::NoTicket:
        dropPermit(state, toStepRef(ref.task), run->worker);
        if (run->startRetries > 0)
            return stopRun(state, ref, StopReason::UncertainStart, now, orders);
        return releaseRefusedRun(state, ref, now, Milliseconds(0));
    case StartResult::NoRoom:
        if (worker)
            worker->capacityRefusedUntil = now + capacityRetryDelay;
        return releaseRefusedRun(state, ref, now, Milliseconds(0));
    case StartResult::Unhealthy:
    case StartResult::NotSent:
    case StartResult::WorkerLeaving:
    case StartResult::PermitExpired:
    case StartResult::StoreSilent:
        if (worker)
            worker->health.avoidUntil = now + unhealthyRetryDelay;
        // An earlier send of the order may have arrived.
        if (run->startRetries > 0)
            return stopRun(state, ref, StopReason::UncertainStart, now, orders);
        return releaseRefusedRun(state, ref, now, Milliseconds(0));
    case StartResult::Refused:
        if (worker)
            worker->health.avoidUntil = now + unhealthyRetryDelay;
        return stopRun(state, ref, StopReason::UncertainStart, now, orders);
    case StartResult::Fenced:
    case StartResult::Superseded:
    case StartResult::Late:
        if (run->startRetries > 0)
            return stopRun(state, ref, StopReason::UncertainStart, now, orders);
        return releaseRefusedRun(state, ref, now, retryDelay);
    case StartResult::NoAnswer:
        run->orderedAt = now - resendDelay;
        return resendStart(state, ref, *run, now, orders);
    }
}

void onStopResult(State& state, const RunRef& ref, StopResult result, MonotonicTime now)
{
    auto* run = findRun(state, ref);
    if (!run || run->phase != RunPhase::Stopping)
        return;
    run->isOrderInFlight = false;
    run->orderedAt = now;
    if (result == StopResult::Accepted)
        run->stopConfirmedAt = now;
}

namespace {

    // Handles the end of a run that was released after its lease expired. A completed task counts, so that the work is not repeated.
    void processLateEnd(
        State& state, Job& job, const Task& task, const ListedEnd& end, MonotonicTime now, std::int64_t wallMs, Orders& orders)
    {
        const auto& step = getStepSpec(job, end.run.task.step);
        const bool isWanted = end.kind == EndKind::Done && !task.isDone && !hasEnded(job) && !step.long_running && !step.gang;
        if (!isWanted || end.run.run > task.lastRun)
            return;
        orders.emplace_back(Decision { "late_end_taken", toString(end.run), {}, "done", {}, 0 });
        completeRun(state, job, end.run, now, wallMs, orders);
    }

    void processEnd(State& state, Worker& worker, const ListedEnd& end, MonotonicTime now, std::int64_t wallMs, Orders& orders)
    {
        auto* job = findJob(state, end.run.task.job);
        auto* task = findTask(state, end.run.task);
        const auto* found = findRun(state, end.run);
        const bool isOurs = found && found->worker == worker.id;
        if (!job || !task)
            return;
        if (!isOurs)
            return processLateEnd(state, *job, *task, end, now, wallMs, orders);
        const Run run = *found;
        if (!end.checkpoint.empty())
            task->checkpoint = end.checkpoint;
        releaseRun(state, end.run, now);
        const auto ran = std::chrono::duration_cast<Milliseconds>(now - run.createdAt);
        orders.emplace_back(
            Decision { std::string("run_") + toString(end.kind), toString(end.run), worker.id, "end_listed", {}, ran.count() });
        recordRunEnd(state, worker, *job, *task, run, end.kind, now, orders);
        if (hasEnded(*job) || task->isDone)
            return;
        if (end.kind == EndKind::Done && !getStepSpec(*job, end.run.task.step).long_running)
            completeRun(state, *job, end.run, now, wallMs, orders);
        else if (end.kind == EndKind::Failed)
            failTask(state, *job, end.run.task, run, now, wallMs, orders);
    }

} // namespace

void onEnd(State& state, Worker& worker, const ListedEnd& end, MonotonicTime now, std::int64_t wallMs, Orders& orders)
{
    processEnd(state, worker, end, now, wallMs, orders);
    const auto* job = findJob(state, end.run.task.job);
    worker.lastSeenEnd = end.number;
    worker.uncommittedEnds.push_back({ end.number, end.run.task.job, job ? job->version : ProgressVersion() });
}

void advanceEndCursor(State& state, Worker& worker)
{
    while (!worker.uncommittedEnds.empty()) {
        const auto& first = worker.uncommittedEnds.front();
        const auto* job = findJob(state, first.job);
        if (job && job->committed < first.requiredVersion)
            return;
        worker.lastCommittedEnd = first.number;
        worker.uncommittedEnds.pop_front();
    }
}

void onCommitted(State& state, const GraphJobId& id, ProgressVersion version, Revision recordRevision)
{
    auto* job = findJob(state, id);
    if (!job)
        return;
    job->committed = version;
    job->recordRevision = recordRevision;
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
    for (const auto& ref : std::exchange(state.recordedRuns, {})) {
        auto* run = findRun(state, ref);
        if (!run || run->phase != RunPhase::Recorded)
            continue;
        run->phase = RunPhase::Starting;
        run->orderedAt = now;
        run->isOrderInFlight = true;
        extendLeaseEnd(state, run->worker, now);
        orders.emplace_back(StartOrder { ref, run->worker, run->startRetries > 0 });
    }
}

void checkRuns(State& state, MonotonicTime now, Orders& orders)
{
    for (const auto& [id, ref] : collectRunsToCheck(state, now))
        checkRun(state, ref, state.workers.at(id), now, orders);
}

} // namespace kingcuploom::scheduler
