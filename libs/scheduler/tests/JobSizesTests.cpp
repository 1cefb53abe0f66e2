#include "SchedulerWorld.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

TEST_CASE("Jobs are classed by their rank among the recent jobs of their queue")
{
    // Guards against a table of sizes that calls half of the jobs large after the load of a queue has changed.
    WorkSample sample;
    std::map<SizeClass, int> counts;
    constexpr int count = 1000;
    for (int i = 0; i < count; ++i)
        ++counts[sample.add((i * 7919) % count)];
    CHECK(counts[SizeClass::SmallestHalf] == Approx(500).margin(40));
    CHECK(counts[SizeClass::UpperMiddle] == Approx(200).margin(30));
    CHECK(counts[SizeClass::UpperFifth] == Approx(200).margin(30));
    CHECK(counts[SizeClass::LargestTenth] == Approx(100).margin(30));
    for (int i = 0; i < count; ++i)
        sample.add(100.0 * (i % 10));
    CHECK(sample.add(100) == SizeClass::SmallestHalf);
    CHECK(sample.add(950) == SizeClass::LargestTenth);
}

TEST_CASE("The time that a job waits for room is recorded as such")
{
    // Guards against reports from which the wait for room can't be told from retries and from a leader that holds its starts back.
    SchedulerWorld world(1);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .cpuMillis = 4000, .estimateMs = 400 }));
    world.run(Milliseconds(200));
    world.submit(makeJobSpec("b", { .counts = { 1 }, .cpuMillis = 4000, .estimateMs = 400 }));
    const auto& job = world.state().jobs.at(GraphJobId("b"));
    REQUIRE(world.runUntil([&] { return !job.hasWaitingTasks; }, Milliseconds(3000)));
    const auto& spent = job.waits.spent();
    const auto room = spent[static_cast<std::size_t>(WaitCause::Room)] + spent[static_cast<std::size_t>(WaitCause::RoomWhenLate)];
    CHECK(room >= Milliseconds(100));
    CHECK(spent[static_cast<std::size_t>(WaitCause::Retry)] == Milliseconds(0));
    CHECK(spent[static_cast<std::size_t>(WaitCause::LeaderHold)] == Milliseconds(0));
}
