#pragma once

#include "scheduler/Model.h"

// Fencing tokens of the orders to workers. A worker refuses orders with a token below the highest that it has seen in its incarnation.
namespace kingcuploom::scheduler {

// Returns the fencing token of orders to the worker.
Revision getFence(const State&, const Worker&);

// Gives the orders to the worker a higher fencing token from now on: the revision of the last commit of the term, or that of the next one
// if the worker's token is as high already.
void raiseFence(State&, Worker&);

// Makes sure that a start order has a higher fencing token than the acknowledgements without an answer: another incarnation of the worker
// may carry them out after the start, and would forget its end. Returns false while the worker awaits a token.
bool prepareStartFence(State&, Worker&);

// Handles a commit of this term with the given revision.
void onTermCommit(State&, Revision);

} // namespace kingcuploom::scheduler
