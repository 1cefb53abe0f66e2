#pragma once

#include "scheduler/Model.h"

namespace kingcuploom::scheduler {

// Adds an accepted job, and returns null if it is already known. With progress given, resumes the job from the record of an earlier leader.
Job* addJob(State&, std::shared_ptr<const schema::GraphJobSpecT>, const schema::GraphJobProgressT* progress, Revision recordRevision,
    MonotonicTime now, std::int64_t wallMs);

// Adds an ended job from its stored record.
void addEndedJob(State&, const schema::GraphJobProgressT&, Revision recordRevision, MonotonicTime now);

// Marks the task as done and opens the steps whose dependencies are now met. Completes the job after its last task.
void finishTask(State&, Job&, const TaskRef&, MonotonicTime now, std::int64_t wallMs);

// Ends the job. The caller must stop its runs.
void endJob(State&, Job&, schema::JobState, MonotonicTime now, std::int64_t wallMs);

// Counts the job once in the shares of its queue: whether it was completed while its result was of use.
void countServed(State&, Job&, bool isServed);

// Returns the jobs with progress to store and no commit in flight, in the order in which to store them: jobs that are due first,
// then by the time that they have waited.
std::vector<GraphJobId> orderCommits(const State&, MonotonicTime now, Milliseconds batchDelay);
// Returns true if a start or a caller waits for the commit of the job, or if it has waited for the batch delay, and its record is not too
// large for the store.
bool isCommitDue(const Job&, MonotonicTime now, Milliseconds batchDelay);

// Returns the estimated duration of the critical path through the steps.
Milliseconds computeCriticalPath(const schema::GraphJobSpecT&);

// Returns the number of accepted jobs of the queue with no started task, excluding those whose start time has not come.
std::size_t pendingJobs(const State&, const QueueName&, MonotonicTime now, std::int64_t wallMs);

// Returns jobs that ended longer ago than the retention period, at most limit of them.
std::vector<GraphJobId> expiredJobs(const State&, MonotonicTime now, std::size_t limit);

} // namespace kingcuploom::scheduler
