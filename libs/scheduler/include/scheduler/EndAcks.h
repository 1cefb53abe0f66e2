#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Adds an end that the worker has listed, once it has been processed. The end of a run whose start may be carried out late is held: once it
// is acknowledged, another execution of the task by the worker's next incarnation would be one too many. While it is not, the end is lost
// with the present incarnation, and the next one may execute the task.
void addUncommittedEnd(State&, Worker&, const ListedEnd&, MonotonicTime now);

// Advances the acknowledgement cursor past the ends whose effects are committed, up to the first that is held. The numbers of a worker's
// ends form one sequence, so a held end also delays those behind it. An end is not held any longer if the worker has more ends than fit
// into a report, or if too large a share of all ends would be delayed.
void advanceEndCursor(State&, Worker&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
