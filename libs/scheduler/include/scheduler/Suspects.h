#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// Attribution of crashes of workers to tasks. A task that crashes each worker that starts it takes all other runs of the worker with it, so
// it must not be started without a bound; which of the runs on a crashed worker was the cause is not known at first. A task is suspected
// after one crash shortly after its start, runs on trial after two, and is given up if its worker crashes alone during the trial. A task
// that has executed for some time is not the likely cause of the next early crash if another one has just started on the worker.

enum class LossKind {
    // Its process or its VM has failed and comes back.
    Crashed,
    // It has failed or is cut off.
    Unexplained,
    // It had announced that it leaves.
    Left,
    // The platform has taken its VM for another use.
    Taken,
};

// What is known of a worker that is gone.
struct WorkerLoss {
    LossKind kind = LossKind::Unexplained;
    // No other worker fell silent at the same time.
    bool isAlone = false;
    // Number of runs that it had just started, of tasks that are not known to execute. They are the likely cause.
    std::size_t recentStarts = 0;
};

// Returns the number of the worker's runs that no report has shown executing for some time, nor an earlier run of their task.
std::size_t countRecentStarts(State&, const Worker&);

// Must be called before the runs of the worker are released.
WorkerLoss assessLoss(State&, const Worker&, LossKind);

// Counts the loss of the run's worker in the crash history of the task, once per incarnation. Does nothing for a run that the worker
// cannot have executed.
void countCrash(State&, const RunRef&, const WorkerLoss&, MonotonicTime now);

// Counts a run that ended with another member of its gang, by its lease or because its start was uncertain, if the task may already be the
// cause of several crashes: the limit is one of starts, and such a run shows nothing in favour of its task.
void countOtherEnd(Task&);

// Counts the crash, and releases the run.
void loseRun(State&, const RunRef&, const WorkerLoss&, MonotonicTime now, Orders&);

// Clears the task after a run that its worker survived.
void clearCrashHistory(Task&);

// The worker of the task's last run crashed shortly after the start.
bool isSuspected(const Task&);

// The task may be started only on a worker that gets no other task until the run has shown that it does not crash it.
bool needsTrial(const Task&);

// The task may not be started again.
bool isCrashLimitReached(const Task&);

// Returns true if one more trial of the job may begin: trials are limited for each job and for each service.
bool mayBeginTrial(State&, const Job&);

// Updates Worker::suspectRuns and Worker::isOnTrial.
void markSuspectWorkers(State&);

// Gives up the jobs of tasks that have reached the limit, and clears tasks whose runs have executed for long enough.
void checkSuspects(State&, MonotonicTime now, std::int64_t wallMs, Orders&);

} // namespace kingcuploom::scheduler
