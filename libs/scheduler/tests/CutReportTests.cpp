#include "SchedulerWorld.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

// Reports that hold only a part of the ends of a worker.

// TWICE: after a takeover, runs whose ends did not fit into the first report were taken for runs that had never begun. Their tasks, which
// were done, were started again.
TEST_CASE("Runs whose ends do not fit into a report are not started again by the next leader", "[cut]")
{
    const auto maxListedEnds = GENERATE(1U, 3U, 10U, 12U);
    INFO("ends in a report " << maxListedEnds);
    SchedulerWorld world(1);
    world.setMaxListedEnds(maxListedEnds);
    world.run(Milliseconds(200));
    world.submit(makeJobSpec("a", { .counts = { 12 }, .cpuMillis = 100, .estimateMs = 900 }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 12; }, Milliseconds(2000)));
    // The leader hears nothing while the tasks end, and its successor finds all ends at once.
    world.loseAnswers(0, Milliseconds(1000));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 0; }, Milliseconds(2000)));
    world.changeLeader();
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(10'000)));
    CHECK(world.startCount() == 12);
    CHECK(world.violations().empty());
}

// TWICE: the same under one leader, whose commits take so long that more ends wait for their acknowledgement than fit into a report.
TEST_CASE("Runs whose ends do not fit into a report are not started again while commits are slow", "[cut]")
{
    SchedulerWorld world(1);
    world.setMaxListedEnds(3);
    world.run(Milliseconds(200));
    world.submit(makeJobSpec("a", { .counts = { 12 }, .cpuMillis = 100, .estimateMs = 900 }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 12; }, Milliseconds(2000)));
    world.setCommitTime(Milliseconds(1500));
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(30'000)));
    CHECK(world.startCount() == 12);
    CHECK(world.violations().empty());
}

// Guards against a task that waits for good: a run that is gone without an end is found once a report holds all ends.
TEST_CASE("A run that never began is found after the last cut report", "[cut]")
{
    SchedulerWorld world(1);
    world.setMaxListedEnds(3);
    world.run(Milliseconds(200));
    world.setStartFault(0, StartResult::NoAnswer);
    world.submit(makeJobSpec("lost", { .counts = { 1 }, .cpuMillis = 100, .estimateMs = 300 }));
    REQUIRE(world.runUntil([&] { return world.storedState("lost") == schema::JobState::Running; }, Milliseconds(2000)));
    world.changeLeader();
    world.setStartFault(0, std::nullopt);
    world.submit(makeJobSpec("a", { .counts = { 12 }, .cpuMillis = 100, .estimateMs = 300 }));
    const auto areBothCompleted
        = [&] { return world.storedState("lost") == schema::JobState::Completed && world.storedState("a") == schema::JobState::Completed; };
    CHECK(world.runUntil(areBothCompleted, Milliseconds(10'000)));
    CHECK(world.violations().empty());
}
