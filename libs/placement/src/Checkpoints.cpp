#include "placement/Checkpoints.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace kingcuploom::placement {

namespace {

    // 140 failures and 2,000 restarts a day among 6,800 workers (docs/design.md, section 1.6): one loss in about 3 days of a worker.
    constexpr double plannedLossesPerSecond = 2140.0 / 6800 / 86400;
    // The planned rate counts as a tenth of an observed loss: with a whole one it held the estimate at a fifth of a rate of one an hour.
    constexpr double priorLosses = 0.1;
    // Older observations fade, so that a rate that changes is followed.
    constexpr double maxLosses = 20;
    // A shorter interval is within the noise of the reports, a longer one loses an hour of work to a rate that is known badly.
    constexpr Milliseconds shortestInterval = std::chrono::seconds(10);
    constexpr Milliseconds longestInterval = std::chrono::hours(1);
    // Checkpoints at the same time compete for the disk and the network of the worker with its services.
    constexpr std::size_t mostAtOnce = 1;

    // How much repeating work weighs against doing less of it.
    double lossWeight(const schema::PolicySpecT& policy)
    {
        return std::max(1U, policy.eviction_weight) / double(std::max(1U, policy.throughput_weight));
    }

} // namespace

void noteWorkers(WorkerLossRate& rate, std::size_t workers, Milliseconds time, std::size_t losses)
{
    rate.workerSeconds += double(workers) * std::chrono::duration<double>(time).count();
    rate.losses += double(losses);
    if (rate.losses <= maxLosses)
        return;
    rate.workerSeconds *= maxLosses / rate.losses;
    rate.losses = maxLosses;
}

double lossesPerSecond(const WorkerLossRate& rate)
{
    return (rate.losses + priorLosses) / (rate.workerSeconds + priorLosses / plannedLossesPerSecond);
}

// Young's interval: with a shorter one the checkpoints cost more than the work they save, with a longer one the lost work does.
Milliseconds checkpointInterval(const WorkerLossRate& rate, Milliseconds cost, const schema::PolicySpecT& policy)
{
    const double costSeconds = std::chrono::duration<double>(cost).count();
    const double seconds = std::sqrt(2 * std::max(0.0, costSeconds) / (lossesPerSecond(rate) * lossWeight(policy)));
    const Milliseconds interval(std::llround(1000 * std::min(seconds, std::chrono::duration<double>(longestInterval).count())));
    return std::max(interval, shortestInterval);
}

std::vector<TaskId> chooseCheckpoints(
    std::span<const CheckpointCandidate> tasks, const WorkerLossRate& rate, const schema::PolicySpecT& policy)
{
    struct Due {
        double overdue;
        TaskId task;
    };
    std::vector<Due> due;
    for (const auto& task : tasks) {
        const auto interval = checkpointInterval(rate, task.cost, policy);
        if (!task.isCheckpointing && task.workAtRisk >= interval)
            due.push_back({ double(task.workAtRisk.count()) / double(interval.count()), task.task });
    }
    std::ranges::sort(due, {}, [](const Due& it) { return std::tuple(-it.overdue, it.task); });
    const auto busy = std::size_t(std::ranges::count_if(tasks, &CheckpointCandidate::isCheckpointing));
    due.resize(std::min(due.size(), mostAtOnce - std::min(mostAtOnce, busy)));
    std::vector<TaskId> chosen;
    std::ranges::transform(due, std::back_inserter(chosen), &Due::task);
    return chosen;
}

} // namespace kingcuploom::placement
