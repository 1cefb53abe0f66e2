#include "scheduler/StandingTasks.h"

#include "RejectReason.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    constexpr Milliseconds checkInterval { 1000 };
    // A restart without obstacles takes a few hundred milliseconds.
    constexpr Milliseconds reportedIdleTime { 2000 };

    bool isExecuted(const Task& task)
    {
        return std::ranges::any_of(task.runs, [](const Run& run) { return run.phase == RunPhase::Running; });
    }

    const char* describePhase(RunPhase phase)
    {
        switch (phase) {
        case RunPhase::Recording:
            return "commit";
        case RunPhase::Recorded:
            return "fresh_view_or_permit";
        case RunPhase::Starting:
            return "start_order";
        case RunPhase::Running:
            return "executed";
        case RunPhase::Stopping:
            return "stop_order";
        case RunPhase::Unverified:
            break;
        }
        return "worker_poll";
    }

    // Returns what the task waits for, and the result of its last start order.
    std::string describeHold(const State& state, const Job& job, const TaskRef& ref, const Task& task, MonotonicTime now)
    {
        const std::string last = std::string("last_start:") + task.lastStartResult;
        if (!task.runs.empty())
            return std::string("waits:") + describePhase(task.runs.front().phase) + ',' + last;
        if (task.notBefore > now)
            return "waits:backoff," + last;
        return describeRejections(state, job, ref, now) + ',' + last;
    }

    void checkTask(const State& state, const Job& job, const TaskRef& ref, Task& task, MonotonicTime now, Orders& orders)
    {
        if (!isExecuted(task) && !task.idleSince) {
            task.idleSince = now;
            task.lastRunWhenIdle = task.lastRun;
            return;
        }
        if (!task.idleSince)
            return;
        const auto idle = std::chrono::duration_cast<Milliseconds>(now - *task.idleSince);
        const auto isBack = isExecuted(task);
        const auto usedNumbers = static_cast<std::int64_t>(task.lastRun.value()) - static_cast<std::int64_t>(task.lastRunWhenIdle.value());
        if (isBack)
            task.idleSince.reset();
        if (idle < reportedIdleTime)
            return;
        const auto worker = task.runs.empty() ? WorkerId() : task.runs.front().worker;
        orders.emplace_back(Decision { isBack ? "standing_task_restarted" : "standing_task_idle", toString(RunRef { ref, task.lastRun }),
            worker, isBack ? "executed" : describeHold(state, job, ref, task, now), idle, usedNumbers });
    }

} // namespace

void checkStandingTasks(State& state, MonotonicTime now, Orders& orders)
{
    if (now - state.standingTasksCheckedAt < checkInterval)
        return;
    state.standingTasksCheckedAt = now;
    state.idleStandingTasks = 0;
    for (const auto& id : state.active) {
        auto& job = state.jobs.at(id);
        if (hasEnded(job))
            continue;
        for (auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (!getStepSpec(job, step).long_running || !occurrence.steps[step].isOpen)
                    continue;
                auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    checkTask(state, job, { id, number, step, index }, tasks[index], now, orders);
                    state.idleStandingTasks += tasks[index].idleSince ? 1 : 0;
                }
            }
        }
    }
}

} // namespace kingcuploom::scheduler
