#pragma once

#include "scheduler/Orders.h"

// Polls of workers. An answer lists the runs of the worker and their ends, and the poll extends the lease and acknowledges ends.
namespace kingcuploom::scheduler {

void onPollReport(State&, const WorkerId&, const PollReport&, MonotonicTime sentAt, MonotonicTime now, std::int64_t wallMs, Orders&);
void onPollFailure(State&, const WorkerId&, PollFailure, MonotonicTime now);

// Updates State::isOwnLinkSuspect from the polls without an answer.
void checkOwnLink(State&, Orders&);

// Emits the polls that are due.
void schedulePolls(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
