#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// A job that has ended is held while the acknowledgement of one of its ends waits for a start that may be carried out late: callers see it
// as running until then, so that its worker does not execute the task after the job was shown as ended.

// Holds the job, which has just completed or failed, if such an end exists and not too many jobs are held.
void holdEndedJob(State&, Job&, MonotonicTime now, Orders&);

// Holds the job if its record says so.
void restoreHeldJob(State&, Job&, const schema::GraphJobProgressT&);

// Shows the held jobs whose ends can be acknowledged.
void showHeldJobs(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
