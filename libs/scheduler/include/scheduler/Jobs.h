#pragma once

#include "scheduler/Model.h"

namespace kingcuploom::scheduler {

// Adds an accepted job. Nothing happens when the job is known. With progress, the job continues from a record of an earlier leader.
Job* addJob(State&, std::shared_ptr<const schema::GraphJobSpecT>, const schema::GraphJobProgressT* progress, Revision recordRevision,
    MonotonicTime now, std::int64_t wallMs);

// Adds a job that has ended, of which only the record is left.
void addEndedJob(State&, const schema::GraphJobProgressT&, Revision recordRevision, MonotonicTime now, std::int64_t wallMs);

// Opens the occurrences that are due. Returns true when one was opened.
bool openDueOccurrences(State&, Job&, MonotonicTime now, std::int64_t wallMs);

// Marks the task as done and opens the steps that waited for it. Completes the job with its last task.
void finishTask(State&, Job&, const TaskRef&, MonotonicTime now, std::int64_t wallMs);

// Ends the job. Its runs have to be stopped by the caller.
void endJob(State&, Job&, schema::JobState, MonotonicTime now, std::int64_t wallMs);

// The part of the job that outlives the leader.
schema::GraphJobProgressT makeProgressRecord(const Job&);

// Longest chain of estimated work through the steps.
Milliseconds computeCriticalPath(const schema::GraphJobSpecT&);

// Number of accepted jobs of a queue, without those for later times, of which no task has started.
std::size_t pendingJobs(const State&, const QueueName&, MonotonicTime now, std::int64_t wallMs);

// Jobs that ended longer ago than the retention, at most this many.
std::vector<GraphJobId> expiredJobs(const State&, MonotonicTime now, std::size_t limit);

} // namespace kingcuploom::scheduler
