#include "TeamUse.h"

#include <algorithm>

namespace kingcuploom {

placement::TeamShares teamUse(const TaskContext& context)
{
    placement::TeamShares shares;
    for (const auto& [team, spec] : context.config.snapshot()->teams)
        shares[team].spec = spec;
    for (const auto& name : context.jobs.activeJobs()) {
        const auto job = context.jobs.find(name);
        if (!job.record)
            continue;
        const auto demand = ledger::demandOf(*job.record->spec);
        auto& use = shares[TeamName(job.record->spec->team)].inUse;
        for (const auto& task : job.record->tasks) {
            if (task->state == schema::TaskState::Assigned)
                use += demand;
        }
    }
    return shares;
}

ResourceAmounts fleetCapacity(const TargetSnapshot& targets)
{
    ResourceAmounts total;
    for (const auto& [id, vm] : targets.vms) {
        if (!vm.leaving)
            total += ResourceAmounts { vm.cpu, vm.memory, vm.accelerators };
    }
    return total;
}

std::vector<ResourceAmounts> vmCapacities(const TargetSnapshot& targets)
{
    std::vector<ResourceAmounts> capacities;
    for (const auto& [id, vm] : targets.vms)
        capacities.push_back({ vm.cpu, vm.memory, vm.accelerators });
    return capacities;
}

std::string largestFigures(const placement::ImpossibleJob& job)
{
    return "largest_cpu_millis=" + std::to_string(job.largest.cpu.value()) + " largest_memory_mb="
        + std::to_string(job.largest.memory.value()) + " largest_accelerators=" + std::to_string(job.largest.accelerators.value());
}

} // namespace kingcuploom
