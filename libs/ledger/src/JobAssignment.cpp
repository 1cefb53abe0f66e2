#include "ledger/JobAssignment.h"

#include "ledger/TaskStates.h"

#include <algorithm>
#include <tuple>

namespace kingcuploom::ledger {

using schema::EndReason;
using schema::TaskState;

namespace {

    constexpr Milliseconds firstFailureDelay { 1000 };
    constexpr Milliseconds maxFailureDelay { 60000 };
    constexpr unsigned maxDoublings = 6;
    // A shard without room needs a commit before its figures show it.
    constexpr Milliseconds noCapacityDelay { 1000 };

    bool isWaiting(const schema::JobTaskT& task)
    {
        return task.state == TaskState::Pending || task.state == TaskState::Evicted || task.state == TaskState::Impossible;
    }

    bool isRetryDue(const schema::JobTaskT& task, const AttemptKey& key, const AssignmentContext& context)
    {
        if (task.state != TaskState::Evicted)
            return true;
        const auto [it, isNew] = context.retryTimes.try_emplace(key, context.now + retryDelay(task));
        return context.now >= it->second;
    }

    std::map<std::string, int> countByShard(const schema::JobRecordT& record)
    {
        std::map<std::string, int> counts;
        for (const auto& task : record.tasks) {
            if (task->state == TaskState::Assigned)
                ++counts[task->shard];
        }
        return counts;
    }

    ShardCapacity* chooseShard(
        const AssignmentContext& context, const schema::JobTaskT& task, const ResourceAmounts& demand, std::map<std::string, int>& counts)
    {
        ShardCapacity* best = nullptr;
        for (auto& candidate : context.capacities) {
            if (!fits(demand, candidate.free) || !fits(demand, candidate.largest))
                continue;
            const auto rank = [&](const ShardCapacity& shard) {
                const bool isLast = context.hasFailedThroughout && context.hasFailedThroughout(shard.shard, task);
                return std::tuple(isLast, counts[shard.shard.value()], -shard.free.cpu.value());
            };
            if (!best || rank(candidate) < rank(*best))
                best = &candidate;
        }
        return best;
    }

    // Shard with the fewest tasks of the job, then the most free processors, among those that can make room.
    ShardCapacity* choosePreemptedShard(const AssignmentContext& context, const ResourceAmounts& demand, std::map<std::string, int>& counts)
    {
        ShardCapacity* best = nullptr;
        for (auto& candidate : context.capacities) {
            if (!context.fitsAfterPreemption(candidate.shard, demand))
                continue;
            const auto rank = [&](const ShardCapacity& shard) { return std::pair(counts[shard.shard.value()], -shard.free.cpu.value()); };
            if (!best || rank(candidate) < rank(*best))
                best = &candidate;
        }
        return best;
    }

    void assign(schema::JobTaskT& task, const ShardId& shard)
    {
        task.state = TaskState::Assigned;
        task.shard = shard.value();
        task.end_reason = EndReason::None;
        ++task.attempt;
    }

    bool markImpossible(schema::JobTaskT& task)
    {
        if (task.state == TaskState::Impossible)
            return false;
        task.state = TaskState::Impossible;
        task.end_reason = EndReason::NoSuchCapacity;
        return true;
    }

} // namespace

Milliseconds retryDelay(const schema::JobTaskT& task)
{
    if (task.end_reason == EndReason::NoSuchCapacity)
        return noCapacityDelay;
    const bool hasFailed = task.end_reason == EndReason::WorkFailed || task.end_reason == EndReason::WorkerFault;
    if (!hasFailed || task.failures == 0)
        return Milliseconds(0);
    const auto doublings = std::min(task.failures - 1, maxDoublings);
    return std::min(firstFailureDelay * (1U << doublings), maxFailureDelay);
}

AssignmentResult assignTasks(schema::JobRecordT& record, const AssignmentContext& context)
{
    AssignmentResult result;
    if (record.cancelled || record.done)
        return result;
    const auto demand = demandOf(*record.spec);
    const bool isPossible = context.fitsFleet(demand);
    auto counts = countByShard(record);
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        auto& task = *record.tasks[index];
        if (!isWaiting(task))
            continue;
        if (!isPossible) {
            result.impossible += markImpossible(task) ? 1 : 0;
            continue;
        }
        const AttemptKey key { { JobName(record.spec->name), index }, Attempt(task.attempt) };
        const bool isDue = isRetryDue(task, key, context);
        auto* shard = isDue ? chooseShard(context, task, demand, counts) : nullptr;
        if (isDue && !shard && record.spec->kind == schema::JobKind::Standing && context.fitsAfterPreemption)
            shard = choosePreemptedShard(context, demand, counts);
        if (!shard || (context.takeQuota && !context.takeQuota(demand))) {
            ++result.waiting;
            continue;
        }
        context.retryTimes.erase(key);
        assign(task, shard->shard);
        shard->free -= demand;
        ++counts[shard->shard.value()];
        ++result.assigned;
    }
    return result;
}

} // namespace kingcuploom::ledger
