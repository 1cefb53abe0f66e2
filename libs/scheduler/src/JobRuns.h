#pragma once

#include "scheduler/Model.h"

#include <utility>

namespace kingcuploom::scheduler {

// Runs by worker, in the order in which the workers and their runs are processed.
using WorkerRuns = std::set<std::pair<WorkerId, RunRef>>;

// Calls the visitor with the occurrence, the step, the index, the Task and the Run of each run of the job.
template <typename Visitor> void visitRuns(const Job& job, const Visitor& visit)
{
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                for (const auto& run : tasks[index].runs)
                    visit(number, step, index, tasks[index], run);
            }
        }
    }
}

// Adds the runs of the active jobs for which the predicate, called with a Job, a StepSpecT, a Task and a Run, returns true. Walking the
// jobs takes a fraction of the time of looking up each run of each worker, and creates references only for the runs that are found.
template <typename Predicate> void collectRuns(const State& state, const Predicate& isWanted, WorkerRuns& runs)
{
    for (const auto& id : state.active) {
        const auto& job = state.jobs.at(id);
        visitRuns(job, [&](std::uint32_t occurrence, std::uint32_t step, std::uint32_t index, const Task& task, const Run& run) {
            if (isWanted(job, getStepSpec(job, step), task, run))
                runs.emplace(run.worker, RunRef { { id, occurrence, step, index }, run.number });
        });
    }
}

} // namespace kingcuploom::scheduler
