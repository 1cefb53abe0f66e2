#include "SchedulerWorld.h"
#include "scheduler/Fleet.h"
#include "scheduler/Health.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

TEST_CASE("A run is not stopped for lack of progress because the leader reads the reports late")
{
    // Guards against counting the leader's own delay as time without progress: the answers to starts on the same worker were taken for
    // recent readings of the progress of its runs.
    SchedulerWorld world(1);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .estimateMs = 4000 }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(1000)));
    world.run(Milliseconds(200));
    world.setReportDelay(Milliseconds(1900));
    for (int i = 0; i < 10; ++i) {
        world.submit(makeJobSpec("other" + std::to_string(i), { .counts = { 1 }, .cpuMillis = 100, .estimateMs = 4000 }));
        world.run(Milliseconds(300));
    }
    CHECK(world.runningCount("a") == 1);
    CHECK(world.startCount() == 11);
    REQUIRE(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(6000)));
}

TEST_CASE("A run that makes no progress is moved to another worker")
{
    // Guards against measuring the time without progress up to a moment that does not advance, with which no stall is found.
    SchedulerWorld world(2);
    world.setFrozen(0, true);
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 3000, .estimateMs = 1000 }));
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(5000)));
    CHECK(world.violations().empty());
}

TEST_CASE("A small service of a large fleet keeps workers that are not quarantined")
{
    // Guards against counting the limit of quarantined workers over the whole fleet: a service with a few workers could lose all of them
    // for up to 12 s, and its standing tasks with them.
    State state;
    const MonotonicTime now { std::chrono::hours(1) };
    Orders orders;
    const auto list = [&](const std::string& id, const char* service) {
        WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.born = IncarnationTime(1);
        entry.service = ServiceName(service);
        onWorkerListed(state, entry, now, orders);
    };
    constexpr int smallServiceSize = 4;
    for (int i = 0; i < 40; ++i)
        list("large" + std::to_string(i), "large");
    for (int i = 0; i < smallServiceSize; ++i)
        list("small" + std::to_string(i), "small");
    for (int i = 0; i < smallServiceSize; ++i) {
        auto& worker = state.workers.at(WorkerId("small" + std::to_string(i)));
        for (int stall = 0; stall < 3; ++stall)
            recordStall(state, worker, {}, now, orders);
    }
    const auto quarantined = std::ranges::count_if(state.workers, [&](const auto& it) { return it.second.health.quarantinedUntil > now; });
    CHECK(quarantined == 1);
}
