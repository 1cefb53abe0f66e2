#pragma once

#include "scheduler/Model.h"

// Occurrences of a job: one, or those of a recurring job.
namespace kingcuploom::scheduler {

std::uint32_t getOccurrenceCount(const schema::GraphJobSpecT&);

// Returns when the occurrence is due, in milliseconds since 1970; 0 for a job that is not recurring.
std::int64_t getDueWallMs(const schema::GraphJobSpecT&, std::uint32_t occurrence);

bool isStepDone(const Step&);
bool isOccurrenceDone(const Occurrence&);

// Opens the steps of the occurrence whose dependencies are met, and counts its done steps.
void updateOpenSteps(const schema::GraphJobSpecT&, Occurrence&);

// Opens the occurrences up to "end", exclusive, that have not been dropped.
void openOccurrences(Job&, std::uint32_t end);

// Opens the occurrences of a recurring job that are due. Returns true if any was opened.
bool openDueOccurrences(State&, Job&, MonotonicTime now, std::int64_t wallMs);

// Drops done occurrences, the earliest first, while the job has more than 4,096 tasks in done occurrences without runs, so that neither the
// job's record nor its memory grows with each occurrence.
void dropDoneOccurrences(Job&);

} // namespace kingcuploom::scheduler
