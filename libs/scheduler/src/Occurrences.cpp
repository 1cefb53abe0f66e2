#include "scheduler/Occurrences.h"

#include "scheduler/Jobs.h"

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

} // namespace

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

std::int64_t getDueWallMs(const schema::GraphJobSpecT& spec, std::uint32_t occurrence)
{
    return spec.repeat_count == 0 ? 0 : spec.start_at_ms + static_cast<std::int64_t>(occurrence) * spec.period_ms;
}

void openOccurrences(Job& job, std::uint32_t end)
{
    for (; job.openedOccurrences < end; ++job.openedOccurrences) {
        if (!isDropped(job, job.openedOccurrences))
            job.occurrences.emplace(job.openedOccurrences, makeOccurrence(*job.spec));
    }
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

} // namespace kingcuploom::scheduler
