#pragma once

#include "scheduler/Model.h"

namespace kingcuploom::scheduler {

// Remembers that a start of the run, which is over, had no answer and may still be carried out. Nothing is remembered for standing tasks
// and steps with speculative copies, whose tasks may be executed again.
void recordLateStart(State&, const Job&, const TaskRef&, const Run&, MonotonicTime now);

// Returns the start of a run of the task that is over which the worker can carry out last, if there is one. For the member of a
// gang, the starts of all members on the worker count, because the end of one is the end of all.
std::optional<LateStart> findLateStart(const State&, const TaskRef&, const WorkerId&, MonotonicTime now);

void pruneLateStarts(State&, MonotonicTime now);

// Late starts of one job in its progress record, for the next leader.
std::vector<std::unique_ptr<schema::LateStartT>> makeLateStartRecords(const State&, const GraphJobId&);
void restoreLateStarts(State&, const schema::GraphJobProgressT&);

} // namespace kingcuploom::scheduler
