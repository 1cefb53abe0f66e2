#pragma once

#include "OpenWorkers.h"

namespace kingcuploom::scheduler {

bool hasFailedOn(const Task&, const Worker&);
// Returns the worker's score for a task of the step; the worker with the highest score is chosen.
double computeScore(const State&, const Worker&, const Job&, std::uint32_t step, bool hasFailedThere, MonotonicTime now);

// The workers that can take a task of one step, with their scores. Tasks of a step differ only in the workers that they have failed on or
// run on, so a placement changes the score of no worker but the chosen one.
class StepCandidates {
public:
    // Considers only workers of the rack, if there is one. The parameters must outlive the object.
    StepCandidates(const State&, OpenWorkers&, const Job&, const TaskRef&, MonotonicTime now, const Rack* = nullptr);

    // Returns the worker with the highest score, the first by id among equals, or null if no worker can take the task.
    Worker* choose(const Task&) const;
    // Returns the worker with the fewest recent starts, then the fewest runs, of those without another suspected task, or null if there is
    // none.
    Worker* chooseForTrial(State&, const Task&) const;
    // Must be called after a run of the step has been reserved on the worker.
    void update(Worker&);

private:
    struct Candidate {
        Worker* worker = nullptr;
        // For a task that has not failed on the worker.
        double score = 0;
    };

    bool canTake(const Worker&) const;

    const State& m_state;
    OpenWorkers& m_workers;
    const Job& m_job;
    TaskRef m_task;
    MonotonicTime m_now;
    std::vector<Candidate> m_candidates;
};

} // namespace kingcuploom::scheduler
