#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// A claim is an advance reservation: a worker takes only tasks of the step that claims it, and tasks that leave the claimed room free,
// until enough of its runs have ended. It bounds the wait of a task that needs more room than others, or that comes after all others in the
// order of urgency. Filling tasks reserve no CPU, so claims of CPU do not keep them off.

// Renews the claims of the waiting steps. At most a share of the workers of a service is claimed at a time. A part of the claims goes to
// the jobs that were accepted first, whatever their urgency, so that the wait of each is bounded.
void updateRoomClaims(State&, MonotonicTime now, Orders&);

// Returns true if a claim of another step, of the same or a higher priority, keeps the step off the worker.
bool isClaimedAgainst(const State&, const Worker&, const Job&, const TaskRef&);

// A task of the step has been placed on the worker.
void useClaim(State&, Worker&, const StepRef&);
// Releases all claims of the job.
void releaseClaims(State&, Job&);

} // namespace kingcuploom::scheduler
