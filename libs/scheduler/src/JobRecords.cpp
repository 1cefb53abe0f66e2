#include "scheduler/JobRecords.h"

#include "scheduler/LateStarts.h"
#include "scheduler/Occurrences.h"
#include "scheduler/Reservations.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // A worker can execute its runs and answer although its entry has lapsed. With its address, polls and stops reach it also under a
    // leader that has never seen the entry. With its VM, the inventory tells whether it can return.
    void restoreWorker(State& state, const schema::RunRecordT& record, MonotonicTime now)
    {
        auto& worker = state.workers.at(WorkerId(record.worker));
        if (worker.vm.empty())
            worker.vm = VmId(record.vm);
        const IncarnationTime born(record.born_ms);
        if (worker.isListed || record.address.empty() || born <= worker.born)
            return;
        worker.born = born;
        worker.address = Address(record.address);
        worker.unlistedSince = now;
    }

    void restoreTask(State& state, Job& job, const schema::TaskProgressT& record, MonotonicTime now)
    {
        const TaskRef ref { job.id, record.occurrence, record.step, record.index };
        auto* task = findTask(state, ref);
        if (!task)
            return;
        task->isDone = record.done;
        task->lastRun = RunNumber(record.last_run);
        task->failures = record.failures;
        task->crashHistory = { record.crashes, record.early_crashes };
        if (record.crashes > 0)
            state.suspects.insert(ref);
        task->checkpoint = record.checkpoint;
        for (const auto& runRecord : record.runs) {
            Run run;
            run.number = RunNumber(runRecord->number);
            run.worker = WorkerId(runRecord->worker);
            run.born = IncarnationTime(runRecord->born_ms);
            run.isCrashCounted = runRecord->crash_counted;
            run.phase = RunPhase::Unverified;
            run.wasConfirmed = runRecord->starts_answered;
            run.hasUnknownStarts = !runRecord->starts_answered;
            run.hadUnansweredStart = runRecord->start_unanswered;
            run.areStartsTracked = runRecord->tracks_starts;
            run.createdAt = now;
            run.percentChangedAt = now;
            task->runs.push_back(run);
            reserve(state, { ref, run.number }, run.worker);
            restoreWorker(state, *runRecord, now);
        }
    }

    void restoreDroppedOccurrences(Job& job, const schema::GraphJobProgressT& progress)
    {
        for (const auto& range : progress.done_occurrences) {
            if (range.end() > getOccurrenceCount(*job.spec))
                continue;
            job.droppedOccurrences.push_back({ range.begin(), range.end() });
            job.doneOccurrences += range.end() - range.begin();
        }
        if (!job.droppedOccurrences.empty())
            openOccurrences(job, job.droppedOccurrences.back().end);
    }

    bool hasProgress(const Task& task) { return task.isDone || task.lastRun.value() > 0; }

    std::unique_ptr<schema::RunRecordT> makeRunRecord(const State& state, const Run& run)
    {
        auto record = std::make_unique<schema::RunRecordT>();
        record->number = run.number.value();
        record->worker = run.worker.value();
        record->born_ms = run.born.value();
        record->crash_counted = run.isCrashCounted;
        // Also if it was an earlier leader that saw the answers, or the next one would wait for starts that nobody has sent.
        record->starts_answered = run.wasConfirmed && !mayArriveLate(run);
        record->start_unanswered = run.hadUnansweredStart;
        record->tracks_starts = run.areStartsTracked;
        if (const auto worker = state.workers.find(run.worker); worker != state.workers.end()) {
            record->address = worker->second.address.value();
            record->vm = worker->second.vm.value();
        }
        return record;
    }

    std::unique_ptr<schema::TaskProgressT> makeTaskRecord(const State& state, const TaskRef& ref, const Task& task)
    {
        auto record = std::make_unique<schema::TaskProgressT>();
        record->occurrence = ref.occurrence;
        record->step = ref.step;
        record->index = ref.index;
        record->done = task.isDone;
        record->last_run = task.lastRun.value();
        record->failures = task.failures;
        record->crashes = task.crashHistory.crashes;
        record->early_crashes = task.crashHistory.earlyCrashes;
        record->checkpoint = task.checkpoint;
        std::ranges::transform(task.runs, std::back_inserter(record->runs), [&](const Run& run) { return makeRunRecord(state, run); });
        return record;
    }

    // A start of the job is recorded, and no worker has confirmed one.
    bool isStartUnconfirmed(const Job& job)
    {
        return job.state == schema::JobState::Queued && std::ranges::any_of(job.occurrences, [](const auto& entry) {
            return std::ranges::any_of(entry.second.steps, [](const Step& step) { return std::ranges::any_of(step.tasks, hasProgress); });
        });
    }

} // namespace

void restoreProgress(State& state, Job& job, const schema::GraphJobProgressT& progress, MonotonicTime now)
{
    job.state = progress.start_unconfirmed ? schema::JobState::Queued : progress.state;
    job.endedWallMs = progress.ended_at_ms;
    if (hasEnded(job)) {
        job.endedAt = now;
        state.ended.insert(job.id);
    }
    restoreDroppedOccurrences(job, progress);
    for (const auto& record : progress.tasks) {
        if (record->occurrence >= getOccurrenceCount(*job.spec))
            continue;
        openOccurrences(job, record->occurrence + 1);
        restoreTask(state, job, *record, now);
    }
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& step : occurrence.steps)
            step.doneCount = static_cast<std::size_t>(std::ranges::count_if(step.tasks, &Task::isDone));
        updateOpenSteps(*job.spec, occurrence);
        job.doneOccurrences += isOccurrenceDone(occurrence) ? 1 : 0;
    }
}

schema::GraphJobProgressT makeProgressRecord(const State& state, const Job& job)
{
    schema::GraphJobProgressT progress;
    progress.job = job.id.value();
    progress.queue = job.queue.value();
    // Callers see the job as running from the commit of its first start. The state in memory changes only when a worker confirms a start.
    progress.start_unconfirmed = isStartUnconfirmed(job);
    progress.state = progress.start_unconfirmed ? schema::JobState::Running : job.state;
    progress.ended_at_ms = job.endedWallMs;
    progress.held = job.isHeld;
    progress.late_starts = makeLateStartRecords(state, job.id);
    std::ranges::transform(job.droppedOccurrences, std::back_inserter(progress.done_occurrences),
        [](const OccurrenceRange& it) { return schema::OccurrenceRange(it.begin, it.end); });
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                // For an ended job, only tasks with runs that may still exist are recorded.
                const bool isKept = hasEnded(job) ? !tasks[index].runs.empty() : hasProgress(tasks[index]);
                if (isKept)
                    progress.tasks.push_back(makeTaskRecord(state, { job.id, number, step, index }, tasks[index]));
            }
        }
    }
    return progress;
}

} // namespace kingcuploom::scheduler
