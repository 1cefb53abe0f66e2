#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Entry for a worker in the platform's worker list.
struct WorkerEntry {
    WorkerId id;
    IncarnationTime born;
    ServiceName service;
    Address address;
    FailureDomain domain;
    Rack rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
};

// Returns false for a start time that lies too far ahead to be one: every later entry and report of the worker would count as that of an
// earlier incarnation.
bool isPlausible(IncarnationTime, std::int64_t wallMs);

void onWorkerListed(State&, const WorkerEntry&, MonotonicTime now, Orders&);
void onWorkerUnlisted(State&, const WorkerId&, MonotonicTime now);
// The worker's entry has been replaced by one that names no usable worker. Its runs go on, and it gets no new task until its next good
// entry.
void onWorkerEntryUnreadable(State&, const WorkerId&);

// The worker has restarted. Runs of its earlier incarnation have ended with that, but a start that was in flight may have reached the new
// one.
void onNewIncarnation(State&, Worker&, IncarnationTime born, MonotonicTime now, Orders&);

// Removes workers that are gone, and stops the runs on draining workers after a grace period.
void checkWorkers(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
