#include "SchedulerWorld.h"

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
