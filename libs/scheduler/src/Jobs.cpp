#include "scheduler/Jobs.h"

#include "scheduler/LateStarts.h"
#include "scheduler/Reservations.h"
#include "scheduler/Runs.h"
#include "scheduler/Urgency.h"

#include <algorithm>
#include <numeric>

namespace kingcuploom::scheduler {

namespace {

    // Bound on the tasks of the occurrences of a job that are open at the same time. Further occurrences that are due wait for them.
    constexpr std::size_t maxOpenTasks = 4096;

    // Bound on the tasks of done occurrences that a job keeps.
    constexpr std::size_t maxKeptDoneTasks = 4096;

    Occurrence makeOccurrence(const schema::GraphJobSpecT& spec)
    {
        Occurrence occurrence;
        std::ranges::transform(spec.steps, std::back_inserter(occurrence.steps), [](const auto& stepSpec) {
            Step step;
            step.tasks.resize(stepSpec->count);
            step.isOpen = stepSpec->after.empty();
            return step;
        });
        return occurrence;
    }

    bool isStepDone(const Step& step) { return step.doneCount == step.tasks.size(); }

    void updateOpenSteps(const schema::GraphJobSpecT& spec, Occurrence& occurrence)
    {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const auto& after = spec.steps[i]->after;
            occurrence.steps[i].isOpen = std::ranges::all_of(after, [&](auto earlier) { return isStepDone(occurrence.steps[earlier]); });
        }
        occurrence.doneSteps = static_cast<std::size_t>(std::ranges::count_if(occurrence.steps, isStepDone));
    }

    bool isOccurrenceDone(const Occurrence& occurrence) { return occurrence.doneSteps == occurrence.steps.size(); }

    std::uint32_t getOccurrenceCount(const schema::GraphJobSpecT& spec) { return std::max(spec.repeat_count, 1U); }

    std::size_t countTasksPerOccurrence(const schema::GraphJobSpecT& spec)
    {
        const auto addCount = [](std::size_t sum, const auto& step) { return sum + step->count; };
        return std::accumulate(spec.steps.begin(), spec.steps.end(), std::size_t { 0 }, addCount);
    }

    std::uint32_t countOpenable(const Job& job)
    {
        const auto tasks = countTasksPerOccurrence(*job.spec);
        const auto most = std::max<std::size_t>(maxOpenTasks / std::max<std::size_t>(tasks, 1), 1);
        const auto open = job.openedOccurrences - job.doneOccurrences;
        return static_cast<std::uint32_t>(most - std::min<std::size_t>(most, open));
    }

    bool hasRuns(const Occurrence& occurrence)
    {
        return std::ranges::any_of(occurrence.steps,
            [](const Step& step) { return std::ranges::any_of(step.tasks, [](const Task& task) { return !task.runs.empty(); }); });
    }

    bool isDroppable(const Occurrence& occurrence) { return isOccurrenceDone(occurrence) && !hasRuns(occurrence); }

    bool isDropped(const Job& job, std::uint32_t occurrence)
    {
        return std::ranges::any_of(
            job.droppedOccurrences, [&](const OccurrenceRange& it) { return it.begin <= occurrence && occurrence < it.end; });
    }

    void addDropped(std::vector<OccurrenceRange>& ranges, std::uint32_t occurrence)
    {
        const auto next = std::ranges::lower_bound(ranges, occurrence, {}, &OccurrenceRange::begin);
        const bool joinsNext = next != ranges.end() && next->begin == occurrence + 1;
        const bool joinsPrevious = next != ranges.begin() && std::prev(next)->end == occurrence;
        if (joinsPrevious && joinsNext) {
            std::prev(next)->end = next->end;
            ranges.erase(next);
        } else if (joinsPrevious) {
            std::prev(next)->end = occurrence + 1;
        } else if (joinsNext) {
            next->begin = occurrence;
        } else {
            ranges.insert(next, { occurrence, occurrence + 1 });
        }
    }

    // Opens the occurrences up to "end", exclusive, that have not been dropped.
    void openOccurrences(Job& job, std::uint32_t end)
    {
        for (; job.openedOccurrences < end; ++job.openedOccurrences) {
            if (!isDropped(job, job.openedOccurrences))
                job.occurrences.emplace(job.openedOccurrences, makeOccurrence(*job.spec));
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

    std::int64_t getDueWallMs(const schema::GraphJobSpecT& spec, std::uint32_t occurrence)
    {
        return spec.repeat_count == 0 ? 0 : spec.start_at_ms + static_cast<std::int64_t>(occurrence) * spec.period_ms;
    }

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

    bool hasStarted(const Job& job) { return job.state != schema::JobState::Queued; }

    // A start of the job is recorded, and no worker has confirmed one.
    bool isStartUnconfirmed(const Job& job)
    {
        return job.state == schema::JobState::Queued && std::ranges::any_of(job.occurrences, [](const auto& entry) {
            return std::ranges::any_of(entry.second.steps, [](const Step& step) { return std::ranges::any_of(step.tasks, hasProgress); });
        });
    }

} // namespace

Milliseconds computeCriticalPath(const schema::GraphJobSpecT& spec)
{
    std::vector<Milliseconds> ends;
    Milliseconds longest { 0 };
    for (const auto& step : spec.steps) {
        Milliseconds start { 0 };
        for (const auto earlier : step->after)
            start = std::max(start, earlier < ends.size() ? ends[earlier] : Milliseconds { 0 });
        ends.push_back(start + Milliseconds(step->estimate_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Job* addJob(State& state, std::shared_ptr<const schema::GraphJobSpecT> spec, const schema::GraphJobProgressT* progress,
    Revision recordRevision, MonotonicTime now, std::int64_t wallMs)
{
    const GraphJobId id(spec->job);
    if (const auto known = state.jobs.find(id); known != state.jobs.end())
        return nullptr;
    auto& job = state.jobs[id];
    job.id = id;
    job.queue = QueueName(spec->queue);
    job.spec = std::move(spec);
    std::ranges::transform(
        job.spec->steps, std::back_inserter(job.images), [&](const auto& step) { return state.interference.getImageNumber(step->image); });
    job.size = state.queueSizes[job.queue].sample.add(computeWork(*job.spec));
    job.recordRevision = recordRevision;
    job.arrivedAt = now;
    const auto age = std::clamp(Milliseconds(wallMs - job.spec->accepted_at_ms), Milliseconds(0), Milliseconds(60'000));
    const auto& policy = getPolicy(state, job);
    const auto work = std::chrono::duration_cast<Milliseconds>(computeCriticalPath(*job.spec) * policy.stretch);
    job.acceptedAt = now - age;
    job.dueAt = job.acceptedAt + work + Milliseconds(policy.target_duration_ms);
    state.active.insert(id);
    if (progress) {
        restoreProgress(state, job, *progress, now);
        restoreLateStarts(state, *progress);
    }
    openDueOccurrences(state, job, now, wallMs);
    markWaiting(state, job);
    return &job;
}

void addEndedJob(State& state, const schema::GraphJobProgressT& progress, Revision recordRevision, MonotonicTime now)
{
    const GraphJobId id(progress.job);
    auto& job = state.jobs[id];
    job.id = id;
    job.queue = QueueName(progress.queue);
    job.state = progress.state;
    job.recordRevision = recordRevision;
    job.endedWallMs = progress.ended_at_ms;
    // Counted from here, as the time of day of the leader that ended the job may differ by any amount.
    job.endedAt = now;
    restoreLateStarts(state, progress);
}

void dropDoneOccurrences(Job& job)
{
    if (!job.spec || job.occurrences.size() < 2)
        return;
    const auto tasks = countTasksPerOccurrence(*job.spec);
    if (job.occurrences.size() * tasks <= maxKeptDoneTasks)
        return;
    const auto done = std::ranges::count_if(job.occurrences, [](const auto& entry) { return isDroppable(entry.second); });
    auto kept = static_cast<std::size_t>(done) * tasks;
    for (auto it = job.occurrences.begin(); it != job.occurrences.end() && kept > maxKeptDoneTasks;) {
        if (!isDroppable(it->second)) {
            ++it;
            continue;
        }
        addDropped(job.droppedOccurrences, it->first);
        it = job.occurrences.erase(it);
        kept -= tasks;
    }
}

bool openDueOccurrences(State& state, Job& job, MonotonicTime now, std::int64_t wallMs)
{
    if (hasEnded(job))
        return false;
    bool hasOpened = false;
    const auto end = std::min(getOccurrenceCount(*job.spec), job.openedOccurrences + countOpenable(job));
    while (job.openedOccurrences < end && getDueWallMs(*job.spec, job.openedOccurrences) <= wallMs) {
        job.occurrences.emplace(job.openedOccurrences++, makeOccurrence(*job.spec));
        hasOpened = true;
    }
    if (hasOpened && job.spec->repeat_count > 0) {
        const auto work = std::chrono::duration_cast<Milliseconds>(computeCriticalPath(*job.spec) * getPolicy(state, job).stretch);
        job.acceptedAt = now;
        job.dueAt = now + work + Milliseconds(getPolicy(state, job).target_duration_ms);
    }
    if (hasOpened)
        markWaiting(state, job);
    return hasOpened;
}

void finishTask(State& state, Job& job, const TaskRef& ref, MonotonicTime now, std::int64_t wallMs)
{
    auto& occurrence = job.occurrences.at(ref.occurrence);
    auto& step = occurrence.steps[ref.step];
    auto& task = step.tasks[ref.index];
    if (task.isDone)
        return;
    task.isDone = true;
    ++step.doneCount;
    if (!isStepDone(step))
        return markDirty(state, job, now, false);
    updateOpenSteps(*job.spec, occurrence);
    markWaiting(state, job);
    job.blockedUntil = {};
    if (isOccurrenceDone(occurrence))
        ++job.doneOccurrences;
    if (job.doneOccurrences == getOccurrenceCount(*job.spec))
        endJob(state, job, schema::JobState::Completed, now, wallMs);
    else
        markDirty(state, job, now, false);
}

void endJob(State& state, Job& job, schema::JobState outcome, MonotonicTime now, std::int64_t wallMs)
{
    job.state = outcome;
    job.endedAt = now;
    job.endedWallMs = wallMs;
    job.hasWaitingTasks = false;
    job.waits.end(now);
    if (outcome == schema::JobState::Completed)
        countServed(state, job, now <= computeUselessAt(job));
    state.ended.insert(job.id);
    markDirty(state, job, now, true);
}

void countServed(State& state, Job& job, bool isServed)
{
    if (!std::exchange(job.isShareCounted, true))
        state.queueSizes[job.queue].shares.add(job.size, isServed);
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

bool isCommitDue(const Job& job, MonotonicTime now, Milliseconds batchDelay) { return job.isUrgent || now - job.dirtySince >= batchDelay; }

std::vector<GraphJobId> orderCommits(const State& state, MonotonicTime now, Milliseconds batchDelay)
{
    std::vector<GraphJobId> order;
    std::ranges::copy_if(state.dirty, std::back_inserter(order), [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return !job.isCommitInFlight && job.commitNotBefore <= now;
    });
    std::ranges::stable_sort(order, {}, [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return std::pair(!isCommitDue(job, now, batchDelay), job.dirtySince);
    });
    return order;
}

std::size_t pendingJobs(const State& state, const QueueName& queue, MonotonicTime, std::int64_t wallMs)
{
    return static_cast<std::size_t>(std::ranges::count_if(state.active, [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return job.queue == queue && !hasStarted(job) && getDueWallMs(*job.spec, 0) <= wallMs;
    }));
}

std::vector<GraphJobId> expiredJobs(const State& state, MonotonicTime now, std::size_t limit)
{
    std::vector<GraphJobId> expired;
    for (const auto& [id, job] : state.jobs) {
        if (expired.size() >= limit)
            break;
        const bool isIdle = !state.active.contains(id) && !state.dirty.contains(id) && !job.isCommitInFlight;
        if (isIdle && job.endedAt && *job.endedAt + state.parameters.jobRetention < now)
            expired.push_back(id);
    }
    return expired;
}

} // namespace kingcuploom::scheduler
