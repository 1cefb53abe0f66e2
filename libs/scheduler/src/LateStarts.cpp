#include "scheduler/LateStarts.h"

#include "JobRuns.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    LateStart makeLateStart(const State& state, const Run& run)
    {
        const auto sentAt = run.startsInFlight > 0 ? run.lastStartAt : run.unansweredStartAt;
        return { run.worker, sentAt, computeLastArrival(state, run) };
    }

    // Tasks that may be executed again in any case.
    bool isRepeatable(const schema::StepSpecT& step) { return step.long_running || step.speculative; }

} // namespace

void recordLateStart(State& state, const Job& job, const TaskRef& task, const Run& run, MonotonicTime now)
{
    if (isRepeatable(getStepSpec(job, task.step)) || !run.hadUnansweredStart || !mayArriveAfter(state, run, now))
        return;
    state.lateStarts[task].push_back(makeLateStart(state, run));
}

std::optional<LateStart> findLateStart(const State& state, const TaskRef& task, const WorkerId& worker, MonotonicTime now)
{
    const auto job = state.jobs.find(task.job);
    const bool isSpecKnown = job != state.jobs.end() && job->second.spec;
    // Of a job that an earlier leader has ended, it is not known whether the step is a gang.
    const bool coversStep = !isSpecKnown || getStepSpec(job->second, task.step).gang;
    std::optional<LateStart> latest;
    const auto consider = [&](const LateStart& start) {
        if (start.worker == worker && start.until >= now && (!latest || latest->until < start.until))
            latest = start;
    };
    const auto first = coversStep ? TaskRef { task.job, task.occurrence, task.step, 0 } : task;
    for (auto it = state.lateStarts.lower_bound(first); it != state.lateStarts.end() && toStepRef(it->first) == toStepRef(task); ++it) {
        if (coversStep || it->first == task)
            std::ranges::for_each(it->second, consider);
    }
    if (!isSpecKnown || !coversStep || isRepeatable(getStepSpec(job->second, task.step)))
        return latest;
    visitRuns(job->second, [&](std::uint32_t occurrence, std::uint32_t step, std::uint32_t, const Task&, const Run& run) {
        if (occurrence == task.occurrence && step == task.step && mayArriveAfter(state, run, now))
            consider(makeLateStart(state, run));
    });
    return latest;
}

void pruneLateStarts(State& state, MonotonicTime now)
{
    const auto isExpired = [now](const LateStart& it) { return it.until < now; };
    for (auto& [task, starts] : state.lateStarts)
        std::erase_if(starts, isExpired);
    std::erase_if(state.lateStarts, [](const auto& entry) { return entry.second.empty(); });
}

std::vector<std::unique_ptr<schema::LateStartT>> makeLateStartRecords(const State& state, const GraphJobId& job)
{
    std::vector<std::unique_ptr<schema::LateStartT>> records;
    for (auto it = state.lateStarts.lower_bound({ job, 0, 0, 0 }); it != state.lateStarts.end() && it->first.job == job; ++it) {
        for (const auto& start : it->second) {
            auto record = std::make_unique<schema::LateStartT>();
            record->occurrence = it->first.occurrence;
            record->step = it->first.step;
            record->index = it->first.index;
            record->worker = start.worker.value();
            records.push_back(std::move(record));
        }
    }
    return records;
}

void restoreLateStarts(State& state, const schema::GraphJobProgressT& progress)
{
    // The run was over when the record was written, so that no start of it was sent in this term.
    const auto until = state.termStartedAt + state.parameters.maxOrderDelay;
    for (const auto& record : progress.late_starts) {
        const TaskRef task { GraphJobId(progress.job), record->occurrence, record->step, record->index };
        state.lateStarts[task].push_back({ WorkerId(record->worker), state.termStartedAt, until });
    }
}

} // namespace kingcuploom::scheduler
