#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Queues with an adviser allow a step only on the workers that this external service approves. The adviser issues a ticket per worker. A
// ticket covers all tasks of the step on the current incarnation of the worker, for a limited time. Permits are not persisted: a new
// leader requests them again.

enum class AdviceError {
    // The adviser's call queue is full.
    Busy,
    NoAnswer,
    Refused,
    Malformed,
};

const char* toString(AdviceError);

struct Advice {
    // Workers that may run the step, with their tickets. Workers of the request that are missing here are denied permanently.
    std::vector<std::pair<WorkerId, std::string>> good;
    Milliseconds valid { 0 };
};

bool isAdvised(const State&, const Job&);
// Returns null unless a permit exists that remains valid long enough for a start order sent now.
const Permit* findPermit(const State&, const StepRef&, const Worker&, MonotonicTime now);
// Returns true if the adviser has denied the step on the worker.
bool isBarred(const State&, const StepRef&, const Worker&);

// Requests permits for the workers, given best first, unless a request for the step is already in flight.
void requestAdvice(State&, const StepRef&, const std::vector<WorkerId>& workers, MonotonicTime now, Orders&);
void onAdvice(State&, const AdviceOrder&, const Expected<Advice, AdviceError>&, MonotonicTime sentAt, MonotonicTime now, Orders&);
// Removes the permit after the worker has rejected its ticket.
void dropPermit(State&, const StepRef&, const WorkerId&);
// Removes the permits of jobs that are no longer active.
void pruneAdvice(State&);

} // namespace kingcuploom::scheduler
