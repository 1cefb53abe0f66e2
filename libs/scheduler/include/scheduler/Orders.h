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

// Polls a worker: extends the lease of all its runs, acknowledges ends, and lists its runs and unacknowledged ends.
struct PollOrder {
    WorkerId worker;
    // Long-poll time: the worker answers when a run ends, or after this time.
    Milliseconds wait { 0 };
    // The worker forgets its ends up to this one.
    EndNumber acknowledgedEnd;
    bool extendsLease = false;
};

// Requests permits from the adviser to run the step on the workers.
struct AdviceOrder {
    StepRef step;
    std::vector<WorkerId> workers;
};

// A decision of the scheduler and its reason, for the log.
struct Decision {
    std::string event;
    std::string run;
    WorkerId worker;
    std::string reason;
    // Age of the data behind the decision, usually of the worker's last answer, and a figure that depends on the event.
    Milliseconds inputAge { 0 };
    std::int64_t figure = 0;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder, PollOrder, AdviceOrder, Decision>;
using Orders = std::vector<Order>;

enum class StartResult {
    Started,
    // The worker has seen a higher fencing token.
    Fenced,
    // The run number is not higher than that of a run of the task that was stopped or has ended on the worker.
    Superseded,
    // The order arrived after its expiry on the worker's clock.
    Late,
    NoRoom,
    // The worker rejected the ticket.
    NoTicket,
    // The worker currently refuses all work.
    Unhealthy,
    // Another incarnation answered, or the order was malformed. Nothing was started.
    Refused,
    // No connection to the worker could be used.
    NotSent,
    // Withheld because the view of draining workers and closed domains was stale, or became so before the order could be sent.
    StaleView,
    // Withheld: the worker has been unlisted, drains, or its domain was closed after the placement.
    WorkerLeaving,
    // Withheld: the permit of the adviser has expired since the placement.
    PermitExpired,
    // No connection to the relay of the worker, or the relay has lost its session. The relay sent nothing.
    RelayLost,
    // Withheld: the store has been silent for too long to extend leases.
    StoreSilent,
    // The worker may carry the order out later.
    NoAnswer,
    // The same, but the worker's host has received the whole order by now.
    DeliveredUnanswered,
};

const char* toString(StartResult);

enum class StopResult {
    Accepted,
    Fenced,
    // Another incarnation answered.
    Refused,
    NoAnswer,
};

const char* toString(StopResult);

enum class EndKind {
    Done,
    Failed,
    Stopped,
    Lapsed,
    // Another member of the gang ended.
    GangMemberEnded,
    // The other members of the gang did not arrive in time.
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
    IncarnationTime born;
    std::int64_t clockMs = 0;
    std::vector<ListedRun> running;
    // In ascending order of their numbers, from the first end that is not acknowledged.
    std::vector<ListedEnd> ends;
    // The report holds as many ends as fit. The worker may have more, so a run that is not listed may have ended as well.
    bool areEndsCut = false;
};

enum class PollFailure {
    // The worker has seen a higher fencing token.
    Fenced,
    // Another incarnation answered.
    OtherIncarnation,
    Refused,
    NoAnswer,
};

} // namespace kingcuploom::scheduler
