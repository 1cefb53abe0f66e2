#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "schema/generated/resources_generated.h"

#include <span>
#include <vector>

namespace kingcuploom::placement {

// Losses of workers that were observed, for the rate at which running work is lost.
struct WorkerLossRate {
    double losses = 0;
    double workerSeconds = 0;
};

// A running task with checkpoints.
struct CheckpointCandidate {
    TaskId task;
    // Work since the last checkpoint.
    Milliseconds workAtRisk {};
    // Time for which a checkpoint stops the task.
    Milliseconds cost {};
    bool isCheckpointing = false;
};

// Adds the time for which this many workers were observed, and how many of them were lost in it.
void noteWorkers(WorkerLossRate&, std::size_t workers, Milliseconds time, std::size_t losses);

// Losses per second of one worker; near the rate that is planned for until losses have been observed.
double lossesPerSecond(const WorkerLossRate&);

// Work after which a checkpoint of this cost pays.
Milliseconds checkpointInterval(const WorkerLossRate&, Milliseconds cost, const schema::PolicySpecT&);

// Tasks of one worker to checkpoint now, the most overdue first.
std::vector<TaskId> chooseCheckpoints(std::span<const CheckpointCandidate>, const WorkerLossRate&, const schema::PolicySpecT&);

} // namespace kingcuploom::placement
