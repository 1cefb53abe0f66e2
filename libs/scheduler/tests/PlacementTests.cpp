#include "SchedulerWorld.h"
#include "scheduler/Placement.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

TEST_CASE("Nothing is placed while the last known state of workers is old")
{
    // Guards against starts on draining workers: on a large site with a leader short of CPU, 155 tasks were started on workers that had
    // announced three seconds earlier that they were draining (ramdin-loom-grown, seed fresh-108e).
    SchedulerWorld world(2);
    world.run(Milliseconds(200));
    world.state().isViewStale = true;
    world.submit(makeJobSpec("a", { .counts = { 2 } }));
    world.run(Milliseconds(600));
    CHECK(world.startCount() == 0);
    world.state().isViewStale = false;
    CHECK(world.runUntil([&] { return world.startCount() == 2; }, Milliseconds(500)));
}

TEST_CASE("A smaller task finds its own room on a worker after a larger one has found none")
{
    SchedulerWorld world(1);
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 3000, .isLongRunning = true }));
    world.submit(makeJobSpec("b", { .counts = { 1 }, .cpuMillis = 1000, .isLongRunning = true }));
    world.submit(makeJobSpec("c", { .counts = { 1 }, .cpuMillis = 3000, .isLongRunning = true }));
    world.run(Milliseconds(600));
    CHECK(world.runningCount("a") == 1);
    CHECK(world.runningCount("b") == 1);
    CHECK(world.runningCount("c") == 0);
}

TEST_CASE("A backlog is not compared with the workers again in each pass")
{
    // Guards against comparing each task of a backlog with all workers in each pass: with hundreds of waiting jobs on a large site, this
    // used up the leader's CPU time, and its view of the workers fell seconds behind.
    constexpr int jobCount = 400;
    constexpr int turnCount = 200;
    SchedulerWorld world(60);
    for (int i = 0; i < jobCount; ++i)
        world.submit(makeJobSpec("job" + std::to_string(i), { .counts = { 4 }, .cpuMillis = 3900, .estimateMs = 60'000 }));
    world.run(Milliseconds(200));
    auto& state = world.state();
    const auto waiting = std::ranges::count_if(state.jobs, [](const auto& entry) { return entry.second.hasWaitingTasks; });
    REQUIRE(waiting > jobCount / 2);
    const MonotonicTime now { std::chrono::hours(1) };
    Orders orders;
    // Passes within a millisecond of each other, as when events arrive.
    std::size_t tried = 0;
    for (int i = 0; i < turnCount; ++i) {
        placeWaitingTasks(state, now + Milliseconds(10'000 + i / 10), orders);
        tried += static_cast<std::size_t>(std::ranges::count_if(state.jobs, [&](const auto& entry) {
            return entry.second.hasWaitingTasks && entry.second.blockedUntil <= now + Milliseconds(10'000 + i / 10);
        }));
    }
    CHECK(tried == 0);
}

TEST_CASE("No copy of a run is placed while the last known state of workers is old")
{
    // Guards against copies of runs that seem slow only because the leader is late, on workers that may be draining by now.
    SchedulerWorld world(3);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .estimateMs = 400, .isSpeculative = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(500)));
    for (unsigned i = 0; i < 3; ++i)
        world.setFrozen(i, true);
    world.state().isViewStale = true;
    world.run(Milliseconds(1300));
    CHECK(findTask(world.state(), { GraphJobId("a"), 0, 0, 0 })->lastRun == RunNumber(1));
    world.state().isViewStale = false;
    world.run(Milliseconds(200));
    CHECK(findTask(world.state(), { GraphJobId("a"), 0, 0, 0 })->lastRun == RunNumber(2));
}

TEST_CASE("A run is not copied because its start was held")
{
    // Guards against counting the time of the commit and of the wait for a fresh view as time of work: the copy was placed with the start.
    SchedulerWorld world(3);
    world.run(Milliseconds(200));
    world.setCommitTime(Milliseconds(1500));
    world.submit(makeJobSpec("a", { .counts = { 1 }, .estimateMs = 400, .isSpeculative = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(2000)));
    world.run(Milliseconds(200));
    CHECK(findTask(world.state(), { GraphJobId("a"), 0, 0, 0 })->lastRun == RunNumber(1));
}
