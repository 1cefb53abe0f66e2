#pragma once

#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

// A job that has ended is held while a start of one of its tasks may still be carried out: callers see it as running until then, so that
// no task is executed after its job was shown as ended.

// Holds the job, which has just completed or failed, if such a start exists and not too many jobs are held.
void holdEndedJob(State&, Job&, MonotonicTime now, Orders&);

// Holds the job if its record says so. Its starts must have been restored.
void restoreHeldJob(State&, Job&, const schema::GraphJobProgressT&);

// Shows the held jobs of which no start can be carried out any more.
void showHeldJobs(State&, MonotonicTime now, Orders&);

} // namespace kingcuploom::scheduler
