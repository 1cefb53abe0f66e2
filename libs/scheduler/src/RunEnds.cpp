#include "scheduler/RunEnds.h"

#include "scheduler/EndAcks.h"
#include "scheduler/Health.h"
#include "scheduler/HeldJobs.h"
#include "scheduler/Jobs.h"
#include "scheduler/Runs.h"
#include "scheduler/Suspects.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Maximum of the exponential backoff before a failing standing task is restarted.
    constexpr Milliseconds maxRestartDelay { 1000 };

    void failTask(State& state, Job& job, const TaskRef& ref, const Run& run, MonotonicTime now, std::int64_t wallMs, Orders& orders)
    {
        auto& step = job.occurrences.at(ref.occurrence).steps[ref.step];
        auto& task = step.tasks[ref.index];
        const auto& spec = getStepSpec(job, ref.step);
        const bool isNewGangFailure = !spec.gang || run.number.value() > step.gangFailures;
        ++task.failures;
        if (spec.gang && isNewGangFailure)
            step.gangFailures = run.number.value();
        preferOtherWorkers(task, run.worker);
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

    // The task has been executed twice, or the worker lists an end again that an earlier leader has processed.
    void reportRepeatedEnd(const Worker& worker, const ListedEnd& end, const char* reason, Orders& orders)
    {
        if (end.kind == EndKind::Done)
            orders.emplace_back(Decision { "end_repeated", toString(end.run), worker.id, reason, {}, end.number.value() });
    }

    // Handles the end of a run that was released after its lease expired. A completed task counts, so that the work is not repeated.
    void processLateEnd(State& state, const Worker& worker, Job& job, const Task& task, const ListedEnd& end, MonotonicTime now,
        std::int64_t wallMs, Orders& orders)
    {
        const auto& step = getStepSpec(job, end.run.task.step);
        if (task.isDone && !step.speculative && !step.gang)
            reportRepeatedEnd(worker, end, "task_done", orders);
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
            return reportRepeatedEnd(worker, end, job && !hasEnded(*job) ? "task_done" : "job_over", orders);
        if (!isOurs)
            return processLateEnd(state, worker, *job, *task, end, now, wallMs, orders);
        const Run run = *found;
        if (job->state == schema::JobState::Queued)
            job->state = schema::JobState::Running;
        if (!end.checkpoint.empty())
            task->checkpoint = end.checkpoint;
        releaseRun(state, end.run, now);
        const auto ran = std::chrono::duration_cast<Milliseconds>(now - run.createdAt);
        orders.emplace_back(
            Decision { std::string("run_") + toString(end.kind), toString(end.run), worker.id, "end_listed", {}, ran.count() });
        reportOpenStarts(end.run, run, "ended", now, orders);
        recordRunEnd(state, worker, *job, *task, run, end.kind, now, orders);
        if (end.kind == EndKind::Done || end.kind == EndKind::Failed)
            clearCrashHistory(*task);
        if (hasEnded(*job) || task->isDone)
            return;
        if (end.kind == EndKind::Done && !getStepSpec(*job, end.run.task.step).long_running)
            completeRun(state, *job, end.run, now, wallMs, orders);
        else if (end.kind == EndKind::Failed)
            failTask(state, *job, end.run.task, run, now, wallMs, orders);
        else if (end.kind == EndKind::GangMemberEnded || run.stopReason == StopReason::UncertainStart)
            countOtherEnd(*task);
    }

} // namespace

void onEnd(State& state, Worker& worker, const ListedEnd& end, MonotonicTime now, std::int64_t wallMs, Orders& orders)
{
    auto* job = findJob(state, end.run.task.job);
    const bool hadEnded = !job || hasEnded(*job);
    processEnd(state, worker, end, now, wallMs, orders);
    addUncommittedEnd(state, worker, end, now);
    if (!hadEnded && hasEnded(*job))
        holdEndedJob(state, *job, now, orders);
}

} // namespace kingcuploom::scheduler
