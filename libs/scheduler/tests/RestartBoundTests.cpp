#include "SchedulerWorld.h"
#include "scheduler/Polls.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

// Number of standing tasks that occupy all workers but the first.
constexpr unsigned otherCount = 3;

// Makes worker 0 the only one without a run, and lets it respond to starts with the fault, or not at all.
void makeEmptiestWorkerFaulty(SchedulerWorld& world, StartResult fault)
{
    world.crashWorker(0);
    world.submit(makeJobSpec("others",
        { .counts = { otherCount }, .cpuMillis = 2000, .isLongRunning = true, .targetMs = 50, .maxPerWorker = 1, .image = "others" }));
    REQUIRE(world.runUntil([&] { return world.runningCount("others") == otherCount; }, Milliseconds(800)));
    world.setStartFault(0, fault);
    world.run(Milliseconds(1500));
}

} // namespace

TEST_CASE("A task is started elsewhere if the emptiest worker answers polls but takes no starts")
{
    // Guards against choosing the same worker again after each start that it did not take: it stays empty, so its score stays the best.
    constexpr Milliseconds limit { 3000 };
    for (const auto fault : { StartResult::NoAnswer, StartResult::Unhealthy, StartResult::Refused, StartResult::NotSent, StartResult::Late,
             StartResult::Superseded, StartResult::Fenced, StartResult::NoRoom }) {
        SchedulerWorld world(otherCount + 1);
        makeEmptiestWorkerFaulty(world, fault);
        world.submit(makeJobSpec("a", { .counts = { 1 }, .cpuMillis = 1500, .isLongRunning = true }));
        INFO("result of each start on worker 0: " << toString(fault));
        CHECK(world.runUntil([&] { return world.runningCount("a") == 1; }, limit));
        CHECK(world.violations().empty());
    }
}

TEST_CASE("A task is started elsewhere if the only worker near its data refuses it")
{
    // Guards against orders to the same worker every few milliseconds: its score can be the best in spite of the refusals.
    for (const auto fault : { StartResult::Unhealthy, StartResult::NotSent, StartResult::Late, StartResult::Superseded }) {
        SchedulerWorld world(otherCount + 1);
        world.setRack(0, Rack("near"));
        makeEmptiestWorkerFaulty(world, fault);
        world.submit(makeJobSpec(
            "a", { .counts = { 1 }, .cpuMillis = 1500, .isLongRunning = true, .targetMs = 50, .image = "a", .affinityRack = "near" }));
        INFO("result of each start on worker 0: " << toString(fault));
        CHECK(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(3000)));
    }
}

TEST_CASE("A task is started elsewhere if a worker answers polls but neither starts nor stops")
{
    // Guards against waiting for the confirmed stop of a run without end: each poll extends the lease of the worker, so it never expires.
    SchedulerWorld world(otherCount + 1);
    makeEmptiestWorkerFaulty(world, StartResult::NoAnswer);
    world.setIgnoresStops(0, true);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .cpuMillis = 1500, .isLongRunning = true }));
    // Three starts without an answer, the lease of the last one, and a second attempt.
    const auto limit = Milliseconds(1100) + world.state().parameters.lease * 11 / 10 + Milliseconds(1000);
    CHECK(world.runUntil([&] { return world.runningCount("a") == 1; }, limit));
    CHECK(world.violations().empty());
}

TEST_CASE("A worker that takes no starts is quarantined")
{
    // Guards against giving each waiting task its own failed attempt on a worker that takes no starts.
    SchedulerWorld world(otherCount + 1);
    makeEmptiestWorkerFaulty(world, StartResult::NoAnswer);
    world.submit(makeJobSpec("a", { .counts = { 4 }, .cpuMillis = 500, .isLongRunning = true }));
    CHECK(world.runUntil([&] { return world.runningCount("a") == 4; }, Milliseconds(3000)));
    CHECK(world.state().workers.at(SchedulerWorld::workerId(0)).health.quarantines > 0);
}

TEST_CASE("Starts that no worker answers quarantine few workers")
{
    // Guards against excluding a whole fleet because the leader itself cannot send starts or read the answers.
    constexpr unsigned workerCount = 9;
    SchedulerWorld world(workerCount);
    for (unsigned i = 0; i < workerCount; ++i)
        world.setStartFault(i, StartResult::NoAnswer);
    world.submit(makeJobSpec("a", { .counts = { workerCount }, .cpuMillis = 2500, .isLongRunning = true }));
    world.run(Milliseconds(10'000));
    for (unsigned i = 0; i < workerCount; ++i)
        world.setStartFault(i, std::nullopt);
    CHECK(world.runUntil([&] { return world.runningCount("a") >= workerCount * 6 / 10; }, Milliseconds(3000)));
}

TEST_CASE("A worker is polled without a wait for whether a stopped run never began")
{
    // Guards against a wait of a second for a report that the worker could give at once: such a stop produces no end that would end the
    // wait.
    SchedulerWorld world(1);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .isLongRunning = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(1000)));
    auto& state = world.state();
    auto* run = findRun(state, { { GraphJobId("a"), 0, 0, 0 }, RunNumber(1) });
    auto& worker = state.workers.at(SchedulerWorld::workerId(0));
    const auto now = worker.lastAnswerAt + Milliseconds(1000);
    const auto getWait = [&] {
        worker.isPollInFlight = false;
        Orders orders;
        schedulePolls(state, now, orders);
        REQUIRE(orders.size() == 1);
        return std::get<PollOrder>(orders.front()).wait;
    };
    CHECK(getWait() > Milliseconds(0));
    run->phase = RunPhase::Stopping;
    run->isListed = false;
    run->stopConfirmedAt = now;
    CHECK(getWait() == Milliseconds(0));
}

TEST_CASE("A recorded start waits for the store to answer again")
{
    // Guards against placing the task again and again, with a commit each, while leases may not be extended.
    SchedulerWorld world(2);
    world.run(Milliseconds(200));
    world.setStoreSilent(true);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .isLongRunning = true }));
    world.run(Milliseconds(3000));
    world.setStoreSilent(false);
    CHECK(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(200)));
    CHECK(findTask(world.state(), { GraphJobId("a"), 0, 0, 0 })->lastRun == RunNumber(1));
}

TEST_CASE("A stop that an earlier incarnation of the worker has confirmed is sent again to the next one")
{
    // Guards against a delayed start that the next incarnation carries out after the run has been released: the task runs twice.
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    world.submit(makeJobSpec("a", { .counts = { 1 }, .isLongRunning = true }));
    auto& state = world.state();
    const TaskRef task { GraphJobId("a"), 0, 0, 0 };
    const auto isSent = [&] { return !findTask(state, task)->runs.empty() && findTask(state, task)->runs[0].phase == RunPhase::Starting; };
    REQUIRE(world.runUntil(isSent, Milliseconds(1000)));
    const RunRef ref { task, findTask(state, task)->lastRun };
    const MonotonicTime now(std::chrono::hours(2));
    const auto worker = SchedulerWorld::workerId(0);
    Orders orders;
    stopRun(state, ref, StopReason::UncertainStart, now, orders);
    onStopResult(state, ref, StopResult::Accepted, now, orders);
    orders.clear();
    const IncarnationTime born(state.workers.at(worker).born.value() + 1);
    onPollReport(state, worker, { .born = born, .clockMs = 1 }, now + Milliseconds(10), now + Milliseconds(20), 0, orders);
    REQUIRE(findRun(state, ref));
    CHECK(!findRun(state, ref)->stopConfirmedAt);
    CHECK(std::ranges::any_of(orders, [](const Order& it) { return std::holds_alternative<StopOrder>(it); }));
}
