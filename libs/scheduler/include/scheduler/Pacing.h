#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Adjusts the paces of the filling tasks on a worker from the tail latencies of the serving tasks on it. A pace throttles a task to a
// percentage of its CPU.
void controlPace(State&, Worker&, MonotonicTime now, Orders&);

// Returns the slack that the serving image is expected to lose to the filling tasks of the worker at full pace.
double expectedLoss(const State&, const Worker&, ImageNumber serving);

// Returns the estimate for an additional filling task of the image on the worker. It stays valid until the reservations of the worker, its
// capacity or the model change.
FillingEstimate estimateFilling(const State&, const Worker&, ImageNumber filling, std::int64_t cpuMillis);

// Returns true if, by the latest readings, an additional filling task of the image leaves enough slack to each serving task of the worker.
bool hasSlackFor(const State&, const Worker&, ImageNumber filling, std::int64_t cpuMillis);
// Deducts the expected slack loss of a newly placed filling task until the next reading.
void reserveSlack(const State&, Worker&, ImageNumber filling, std::int64_t cpuMillis);

// Emits orders for the paces that the worker has not confirmed.
void sendPaces(State&, Worker&, Orders&);

void onPaceResult(State&, const RunRef&, int percent, bool isAccepted);

} // namespace kingcuploom::scheduler
