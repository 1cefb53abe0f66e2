#pragma once

#include "CapacityTable.h"
#include "LedgerDriver.h"

namespace kingcuploom {

std::vector<JobSummary> summariseJobs(const JobBoard&);

Expected<TaskExplanation, ledger::JobError> explain(const TaskContext&, const LedgerDriver&, const CapacityTable&, const TaskId&);

} // namespace kingcuploom
