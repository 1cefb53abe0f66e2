#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Sets the share of filling tasks on a worker from the tail latencies of the serving tasks beside them.
void controlPace(State&, Worker&, MonotonicTime now, Orders&);

// Orders the paces that workers have not confirmed.
void sendPaces(State&, Worker&, Orders&);

void onPaceResult(State&, const RunRef&, int percent, bool isAccepted);

} // namespace kingcuploom::scheduler
