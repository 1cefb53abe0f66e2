#pragma once

#include "TaskContext.h"
#include "placement/ClassCorrection.h"
#include "placement/FairShare.h"

namespace kingcuploom {

// What the assigned and running tasks of each team use, from the job records. Exact up to the delay of the watch: coordinators that assign
// at the same moment may together exceed a quota by what they assign in one pass.
placement::TeamShares teamUse(const TaskContext&);

// Capacity of all VMs that are not leaving.
ResourceAmounts fleetCapacity(const TargetSnapshot&);

std::vector<ResourceAmounts> vmCapacities(const TargetSnapshot&);

// "largest_cpu_millis=... largest_memory_mb=... largest_accelerators=...".
std::string largestFigures(const placement::ImpossibleJob&);

} // namespace kingcuploom
