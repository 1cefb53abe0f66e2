#pragma once

#include "scheduler/Model.h"

// Records of the progress of jobs, from which a later leader resumes them.
namespace kingcuploom::scheduler {

// Returns the progress record to store.
schema::GraphJobProgressT makeProgressRecord(const State&, const Job&);

// Restores the occurrences, tasks and runs of a job that has just been added.
void restoreProgress(State&, Job&, const schema::GraphJobProgressT&, MonotonicTime now);

} // namespace kingcuploom::scheduler
