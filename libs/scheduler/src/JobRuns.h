#pragma once

#include "scheduler/Model.h"

#include <utility>

namespace kingcuploom::scheduler {

// Runs by worker, in the order in which the workers and their runs are processed.
using WorkerRuns = std::set<std::pair<WorkerId, RunRef>>;

// Adds the runs of the active jobs for which the predicate, called with a Job, a StepSpecT, a Task and a Run, returns true. Walking the
// jobs takes a fraction of the time of looking up each run of each worker, and creates references only for the runs that are found.
template <typename Predicate> void collectRuns(const State& state, const Predicate& isWanted, WorkerRuns& runs)
{
    for (const auto& id : state.active) {
        const auto& job = state.jobs.at(id);
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = getStepSpec(job, step);
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    for (const auto& run : tasks[index].runs) {
                        if (isWanted(job, spec, tasks[index], run))
                            runs.emplace(run.worker, RunRef { { id, number, step, index }, run.number });
                    }
                }
            }
        }
    }
}

} // namespace kingcuploom::scheduler
