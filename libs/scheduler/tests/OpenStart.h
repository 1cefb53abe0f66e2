#pragma once

#include "SchedulerWorld.h"
#include "scheduler/Fleet.h"
#include "scheduler/Inventory.h"
#include "scheduler/Leases.h"
#include "scheduler/Placement.h"
#include "scheduler/Polls.h"
#include "scheduler/RunStarts.h"
#include "scheduler/Runs.h"

#include <algorithm>

namespace kingcuploom::scheduler::test {

// A worker with a run whose start was sent, and not answered so far.
struct OpenStart {
    explicit OpenStart(const JobOptions& options = { .counts = { 1 }, .estimateMs = 60'000 })
    {
        world.run(Milliseconds(200));
        // Long after the first answer of the term, until which an earlier leader may have extended the lease.
        now = worker.lastAnswerAt + state.parameters.maxLease;
        onPollReport(state, worker.id, { .born = worker.born, .clockMs = 3000 }, now, now, 0, orders);
        addJob(state, makeJobSpec("a", options), nullptr, {}, now, 0);
        placeWaitingTasks(state, now, orders);
        onCommitted(state, ref.task.job, state.jobs.at(ref.task.job).version, Revision(1));
        sendRecordedStarts(state, now, orders);
        extendLease(state, worker, now);
        orders.clear();
    }

    void listNextIncarnation(MonotonicTime at)
    {
        WorkerEntry entry { .id = worker.id, .born = IncarnationTime(worker.born.value() + 1) };
        entry.service = worker.service;
        entry.address = worker.address;
        entry.capacity = worker.capacity;
        onWorkerListed(state, entry, at, orders);
    }

    // The worker answers its first poll in its new incarnation, and lists the run or not.
    void reportFromNextIncarnation(MonotonicTime at, bool isRunning)
    {
        PollReport report { .born = IncarnationTime(worker.born.value() + 1), .clockMs = 700 };
        if (isRunning)
            report.running.push_back({ ref, {}, 10, 0 });
        onPollReport(state, worker.id, report, at, at, 0, orders);
    }

    void failPolls(MonotonicTime at)
    {
        onPollFailure(state, worker.id, PollFailure::NoAnswer, at);
        onPollFailure(state, worker.id, PollFailure::NoAnswer, at);
    }

    void readInventory(VmState vmState, MonotonicTime at) { onInventory(state, { { worker.vm, {}, vmState } }, at, at, orders); }

    bool hasStopOrder() const
    {
        return std::ranges::any_of(orders, [](const Order& it) { return std::holds_alternative<StopOrder>(it); });
    }

    SchedulerWorld world { 1 };
    State& state = world.state();
    Worker& worker = state.workers.at(SchedulerWorld::workerId(0));
    MonotonicTime now;
    RunRef ref { { GraphJobId("a"), 0, 0, 0 }, RunNumber(1) };
    Orders orders;
};

} // namespace kingcuploom::scheduler::test
