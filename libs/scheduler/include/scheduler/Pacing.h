#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Sets the share of filling tasks on a worker from the tail latencies of the serving tasks beside them.
void controlPace(State&, Worker&, MonotonicTime now, Orders&);

// Slack that the serving image is expected to lose to the filling tasks of the worker at full pace.
double expectedLoss(const State&, const Worker&, ImageNumber serving);

// Share at which a further filling task of the image could work on the worker, 0 to 1, from the mean slack of what is served there.
double expectedPace(const State&, const Worker&, ImageNumber filling, std::int64_t cpuMillis);

// A further filling task of the image leaves each serving task of the worker the slack that it needs, by the last readings.
bool hasSlackFor(const State&, const Worker&, ImageNumber filling, std::int64_t cpuMillis);
// Notes that such a task was placed.
void reserveSlack(const State&, Worker&, ImageNumber filling, std::int64_t cpuMillis);

// Orders the paces that workers have not confirmed.
void sendPaces(State&, Worker&, Orders&);

void onPaceResult(State&, const RunRef&, int percent, bool isAccepted);

} // namespace kingcuploom::scheduler
