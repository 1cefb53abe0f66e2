#pragma once

#include "base/Expected.h"
#include "scheduler/Model.h"

#include <variant>

namespace kingcuploom::scheduler {

struct StartOrder {
    RunRef run;
    WorkerId worker;
    bool isRepeat = false;
};

struct StopOrder {
    RunRef run;
    WorkerId worker;
    StopReason reason = StopReason::None;
};

struct PaceOrder {
    RunRef run;
    WorkerId worker;
    int percent = 100;
};

// Extends the lease of all runs on the worker, acknowledges ends, and lists runs and ends.
struct PollOrder {
    WorkerId worker;
    // The worker answers at an end, or after this time.
    Milliseconds wait { 0 };
};

// Asks the adviser which of the workers may run the step.
struct AdviceOrder {
    StepRef step;
    std::vector<WorkerId> workers;
};

// What the scheduler has decided and why, for the log.
struct Decision {
    std::string event;
    std::string run;
    WorkerId worker;
    std::string reason;
    // Age of the worker's last answer, and the figure that decided.
    Milliseconds inputAge { 0 };
    std::int64_t figure = 0;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder, PollOrder, AdviceOrder, Decision>;
using Orders = std::vector<Order>;

enum class StartResult {
    Started,
    // The worker has seen a higher fence.
    Fenced,
    // Not higher than a run that was stopped or has ended there.
    Superseded,
    // Past its time on the worker's clock.
    Late,
    NoRoom,
    // The ticket is not good there.
    NoTicket,
    // The worker does nothing at the moment.
    Unhealthy,
    // Another incarnation answered, or the order was malformed. Nothing was started.
    Refused,
    NotSent,
    // Held back: what is known of leaving workers and closed domains was too old.
    StaleView,
    NoAnswer,
};

const char* toString(StartResult);

enum class StopResult {
    Accepted,
    Fenced,
    // Another incarnation answered.
    Refused,
    NoAnswer,
};

enum class EndKind {
    Done,
    Failed,
    Stopped,
    Lapsed,
    // Another member of the gang ended.
    GangMemberEnded,
    // Waited in vain for the other members of the gang.
    GangIncomplete,
};

const char* toString(EndKind);

struct ListedRun {
    RunRef run;
    std::string checkpoint;
    int percent = 0;
    std::int64_t figure = 0;
};

struct ListedEnd {
    EndNumber number;
    RunRef run;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

struct PollReport {
    Born born;
    std::int64_t clockMs = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ends;
};

enum class PollFailure {
    // A higher fence was seen there.
    Fenced,
    // Another incarnation answered.
    OtherIncarnation,
    Refused,
    NoAnswer,
};

} // namespace kingcuploom::scheduler
