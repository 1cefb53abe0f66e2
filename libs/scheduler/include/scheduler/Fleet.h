#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// What the platform's list says of a worker.
struct WorkerEntry {
    WorkerId id;
    Born born;
    ServiceName service;
    Address address;
    FailureDomain domain;
    Rack rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
};

void onWorkerListed(State&, const WorkerEntry&, MonotonicTime now, Orders&);
void onWorkerUnlisted(State&, const WorkerId&, MonotonicTime now);

// Time up to which the lease of all runs on the worker reaches with an order sent now, on the worker's clock in milliseconds.
// Notes the end of the lease. Empty while the worker's clock is not known.
std::optional<std::int64_t> extendLease(const State&, Worker&, MonotonicTime now);

void onPollReport(State&, const WorkerId&, const PollReport&, MonotonicTime sentAt, MonotonicTime now, std::int64_t wallMs, Orders&);
void onPollFailure(State&, const WorkerId&, PollFailure, MonotonicTime now);

// The platform's knowledge of which workers live, asked for at "sentAt". The runs of a worker that neither answers nor lives end.
void onInventory(State&, const std::set<WorkerId>& living, MonotonicTime sentAt, MonotonicTime now, Orders&);
// Runs are recorded on workers that do not answer.
bool hasUnresponsiveRuns(const State&);

// Orders the looks that are due.
void schedulePolls(State&, MonotonicTime now, Orders&);

// Forgets workers that are gone, and stops work on those that leave.
void checkWorkers(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
