#include "SchedulerWorld.h"
#include "scheduler/Placement.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

TEST_CASE("Nothing is placed while what is known of workers is old")
{
    // Guards against DRAIN: on a grown site with a leader short of processor time, tasks were started on workers that had said three
    // seconds before that they leave (ramdin-loom-grown fresh-108e, 155 starts).
    SchedulerWorld world(2);
    world.run(Milliseconds(200));
    world.state().isViewStale = true;
    world.submit(jobSpec("a", { .counts = { 2 } }));
    world.run(Milliseconds(600));
    CHECK(world.startCount() == 0);
    world.state().isViewStale = false;
    CHECK(world.runUntil([&] { return world.startCount() == 2; }, Milliseconds(500)));
}

TEST_CASE("A task that needs less than one that found no room still finds its own")
{
    SchedulerWorld world(1);
    world.submit(jobSpec("a", { .counts = { 2 }, .cpuMillis = 3000, .isLongRunning = true }));
    world.submit(jobSpec("b", { .counts = { 1 }, .cpuMillis = 1000, .isLongRunning = true }));
    world.submit(jobSpec("c", { .counts = { 1 }, .cpuMillis = 3000, .isLongRunning = true }));
    world.run(Milliseconds(600));
    CHECK(world.runningCount("a") == 1);
    CHECK(world.runningCount("b") == 1);
    CHECK(world.runningCount("c") == 0);
}

TEST_CASE("A backlog is compared with the workers once for each size, and not in each turn")
{
    // Guards against: with hundreds of waiting jobs the leader of a grown site spent its processor time on comparing each of their tasks
    // with all workers in each turn; its picture of the workers fell seconds behind.
    constexpr int jobCount = 400;
    constexpr int turnCount = 200;
    SchedulerWorld world(60);
    for (int i = 0; i < jobCount; ++i)
        world.submit(jobSpec("job" + std::to_string(i), { .counts = { 4 }, .cpuMillis = 3900, .estimateMs = 60'000 }));
    world.run(Milliseconds(200));
    auto& state = world.state();
    const auto waiting = std::ranges::count_if(state.jobs, [](const auto& entry) { return entry.second.hasWaitingTasks; });
    REQUIRE(waiting > jobCount / 2);
    const MonotonicTime now { std::chrono::hours(1) };
    Orders orders;
    // Turns within a millisecond of each other, as events come in.
    std::size_t tried = 0;
    for (int i = 0; i < turnCount; ++i) {
        placeWaitingTasks(state, now + Milliseconds(10'000 + i / 10), orders);
        tried += static_cast<std::size_t>(std::ranges::count_if(state.jobs, [&](const auto& entry) {
            return entry.second.hasWaitingTasks && entry.second.blockedUntil <= now + Milliseconds(10'000 + i / 10);
        }));
    }
    CHECK(tried == 0);
}
