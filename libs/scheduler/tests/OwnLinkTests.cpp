#include "SchedulerWorld.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

constexpr unsigned workerCount = 6;
// The lease of the simulation is 2 s.
constexpr Milliseconds longerThanLease { 8000 };

// Six workers in two failure domains, which have answered polls.
SchedulerWorld makeTwoDomains()
{
    SchedulerWorld world(workerCount);
    for (unsigned i = 0; i < workerCount; ++i)
        world.setDomain(i, FailureDomain(i < workerCount / 2 ? "north" : "south"));
    world.run(Milliseconds(300));
    return world;
}

} // namespace

TEST_CASE("Work that ended while the leader's own link lost most answers is not executed again")
{
    // Guards against taking a full link of the leader for the silence of many workers: their runs have ended as done, and the ends wait
    // at the workers.
    auto world = makeTwoDomains();
    world.submit(makeJobSpec("a", { .counts = { 12 }, .estimateMs = 600 }));
    REQUIRE(world.runUntil([&] { return world.startCount() == 12; }, Milliseconds(1000)));
    for (const unsigned i : { 0U, 1U, 3U, 4U })
        world.loseAnswers(i, longerThanLease);
    world.run(longerThanLease);
    CHECK(world.state().isOwnLinkSuspect);
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(3000)));
    CHECK(world.startCount() == 12);
    CHECK_FALSE(world.state().isOwnLinkSuspect);
    CHECK(world.violations().empty());
}

TEST_CASE("Standing tasks of one silent worker are started elsewhere once its lease is over")
{
    // Guards against waiting for a worker that is cut off, while all others answer.
    auto world = makeTwoDomains();
    world.submit(makeJobSpec("a", { .counts = { 12 }, .isLongRunning = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 12; }, Milliseconds(1000)));
    world.partitionWorker(0, Milliseconds(60'000));
    world.run(Milliseconds(6000));
    CHECK_FALSE(world.state().isOwnLinkSuspect);
    CHECK(world.runningCount("a") == 12);
    CHECK(world.violations().empty());
}

TEST_CASE("Standing tasks of a failure domain that is cut off are started elsewhere once its leases are over")
{
    // Guards against taking a cut between failure domains for a full link of the leader.
    auto world = makeTwoDomains();
    world.submit(makeJobSpec("a", { .counts = { 8 }, .isLongRunning = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 8; }, Milliseconds(1000)));
    for (unsigned i = 0; i < workerCount / 2; ++i)
        world.partitionWorker(i, Milliseconds(60'000));
    world.run(Milliseconds(6000));
    CHECK_FALSE(world.state().isOwnLinkSuspect);
    CHECK(world.runningCount("a") == 8);
    CHECK(world.violations().empty());
}
