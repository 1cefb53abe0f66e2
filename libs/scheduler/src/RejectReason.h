#pragma once

#include "scheduler/Model.h"

namespace kingcuploom::scheduler {

// Why a task cannot be placed on a worker.
enum class RejectReason {
    None,
    ServiceMismatch,
    // Not listed, draining, not answering, with unknown capacity, in a closed domain, or unhealthy.
    Unavailable,
    LabelMismatch,
    Cpu,
    Memory,
    Accelerators,
    MaxPerWorker,
    // The room is claimed for another step.
    Claimed,
    // For a filling task: the serving tasks on the worker would be left too little slack.
    LatencySlack,
    // For a filling task: too little CPU is left.
    CpuHeadroom,
    // For a filling task: it would be paced too low in favour of the serving tasks.
    LowPace,
    // The adviser of the queue has denied the step on the worker.
    Denied,
    // The adviser of the queue has issued no ticket yet, or the ticket has expired.
    NoPermit,
};

const char* toString(RejectReason);

RejectReason findRejectReason(const State&, const Worker&, const Job&, const TaskRef&, MonotonicTime now);
// The same for a worker that is known to be open and of the job's service.
RejectReason findOpenRejectReason(const State&, const Worker&, const Job&, const TaskRef&, MonotonicTime now);

// Returns true if an open worker could take a task of the step, which reserves CPU, once it had the room.
bool isEligible(const State&, const Worker&, const Job&, const TaskRef&, MonotonicTime now);

// Returns true if the worker is listed, answers polls, is in an open domain, and its free capacity is known. Placements do not change it.
bool isOpen(const State&, const Worker&);

// Returns the number of workers of the service that cannot take the task by reason, for the log; for example "memory:12,processors:36".
std::string describeRejections(const State&, const Job&, const TaskRef&, MonotonicTime now);

// Resources that a task of the step reserves.
Resources computeDemand(const schema::StepSpecT&);
// Returns the fraction of the worker's CPU that remains with the task placed; negative if the worker is overcommitted.
double cpuHeadroom(const Worker&, const schema::StepSpecT&);
// Returns the CPU in millicores above which a filling task certainly leaves too little headroom on the worker.
std::int64_t maxFillingCpu(const Worker&);

} // namespace kingcuploom::scheduler
