#pragma once

#include "scheduler/Model.h"

namespace kingcuploom::scheduler {

// What keeps a task from a worker.
enum class RejectReason {
    None,
    ServiceMismatch,
    // Not listed, draining, silent, in a closed domain, or not trusted.
    Unavailable,
    LabelMismatch,
    Cpu,
    Memory,
    Accelerators,
    MaxPerWorker,
    // Serving tasks there would lose too much at once.
    LatencySlack,
    // For a filling task: too few processors are left over.
    CpuHeadroom,
    // For a filling task: it could work only at a small share, for the sake of serving tasks.
    Throttled,
    // The adviser of the queue has said no.
    Denied,
    // The adviser of the queue has not been asked, or its ticket has run out.
    NoPermit,
};

const char* toString(RejectReason);

RejectReason findRejectReason(const State&, const Worker&, const Job&, const TaskRef&, MonotonicTime now);

// For the log: how many workers of the service could not take the task, by what hindered them; "memory:12,processors:36".
std::string describeRejections(const State&, const Job&, const TaskRef&, MonotonicTime now);

// Part of the worker's processors that is left over beside the task; below 0 when more is wanted than it has.
double cpuHeadroom(const Worker&, const schema::StepSpecT&);

} // namespace kingcuploom::scheduler
