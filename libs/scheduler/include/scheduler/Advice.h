#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Some queues allow a step only on the workers that an adviser names. It gives a ticket for each, which is good for all tasks of the step
// on this incarnation of the worker and for a limited time. Permits are not stored: a new leader asks again.

enum class AdviceError {
    // Too many calls wait there.
    Busy,
    NoAnswer,
    Refused,
    Malformed,
};

const char* toString(AdviceError);

struct Advice {
    // Workers that may run the step, with their tickets. Those that were asked for and are not here may not, for good.
    std::vector<std::pair<WorkerId, std::string>> good;
    Milliseconds valid { 0 };
};

bool isAdvised(const State&, const Job&);
// Null without a permit that is good still for a start sent now.
const Permit* findPermit(const State&, const StepRef&, const Worker&, MonotonicTime now);
// The adviser has said that the worker may not run the step.
bool isBarred(const State&, const StepRef&, const Worker&);

// Asks about the workers, best first, unless the step has a question under way.
void requestAdvice(State&, const StepRef&, const std::vector<WorkerId>& workers, MonotonicTime now, Orders&);
void onAdvice(State&, const AdviceOrder&, const Expected<Advice, AdviceError>&, MonotonicTime sentAt, MonotonicTime now, Orders&);
// The worker did not take the ticket.
void dropPermit(State&, const StepRef&, const WorkerId&);
// Forgets the permits of jobs that are not active.
void pruneAdvice(State&);

} // namespace kingcuploom::scheduler
