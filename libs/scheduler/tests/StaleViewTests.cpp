#include "SchedulerWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

// As measured on a leader with two thirds of the CPU time that it needs: starts may be sent for 1.7 s of each 2.6 s.
constexpr ViewRefresh slowRefresh { Milliseconds(2600), Milliseconds(600), Milliseconds(2300) };

// Returns true if the standing tasks of two crashed workers are executed again within the limit.
bool restartsWithin(Milliseconds limit, Milliseconds commitTime)
{
    SchedulerWorld world(3);
    world.submit(makeJobSpec("a", { .counts = { 3 }, .isLongRunning = true }));
    if (!world.runUntil([&] { return world.runningCount("a") == 3; }, Milliseconds(1000)))
        return false;
    world.setViewRefresh(slowRefresh);
    world.setCommitTime(commitTime);
    world.crashWorker(0);
    world.crashWorker(1);
    return world.runUntil([&] { return world.runningCount("a") == 3; }, limit) && world.violations().empty();
}

} // namespace

TEST_CASE("A standing task is restarted although the view of the workers is old when its commit returns")
{
    // Guards against discarding a recorded start because the view is old, and placing the task again: the task then never starts.
    for (auto commitTime = Milliseconds(100); commitTime <= Milliseconds(2500); commitTime += Milliseconds(100)) {
        // A commit in flight, the commit of the placement, and the wait for the next refresh.
        const auto limit = commitTime * 2 + slowRefresh.period + Milliseconds(1000);
        INFO("commit time in ms: " << commitTime.count());
        CHECK(restartsWithin(limit, commitTime));
    }
}

TEST_CASE("A gang is not started in part if one of its workers drains while its starts are held")
{
    // Guards against members that hold room until they end without the others.
    SchedulerWorld world(3);
    world.run(Milliseconds(200));
    world.setViewRefresh(slowRefresh);
    world.setCommitTime(Milliseconds(1900));
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 3000, .estimateMs = 2000, .isGang = true }));
    const auto isHeld = [&] { return world.state().recordedRuns.size() == 2; };
    REQUIRE(world.runUntil(isHeld, Milliseconds(4000)));
    const auto& worker = findRun(world.state(), world.state().recordedRuns.front())->worker;
    for (unsigned i = 0; i < 3; ++i) {
        if (SchedulerWorld::workerId(i) == worker)
            world.drainWorker(i);
    }
    bool isSplit = false;
    world.runUntil(
        [&] {
            isSplit = isSplit || world.startCount() == 1;
            return world.startCount() == 2;
        },
        Milliseconds(10'000));
    CHECK_FALSE(isSplit);
    CHECK(world.startCount() == 2);
    CHECK(world.violations().empty());
}

TEST_CASE("A start that is withheld when it is sent stays recorded with its number")
{
    // Guards against releasing the run, and against counting the refusal against its worker.
    const auto result = GENERATE(StartResult::StaleView, StartResult::PermitExpired, StartResult::StoreSilent);
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    world.submit(makeJobSpec("a", { .counts = { 1 }, .isLongRunning = true }));
    auto& state = world.state();
    const TaskRef task { GraphJobId("a"), 0, 0, 0 };
    const auto isSent = [&] { return !findTask(state, task)->runs.empty() && findTask(state, task)->runs[0].phase == RunPhase::Starting; };
    REQUIRE(world.runUntil(isSent, Milliseconds(1000)));
    const RunRef ref { task, findTask(state, task)->lastRun };
    Orders orders;
    onStartResult(state, ref, result, MonotonicTime(std::chrono::hours(2)), orders);
    REQUIRE(findRun(state, ref));
    CHECK(findRun(state, ref)->phase == RunPhase::Recorded);
    CHECK(std::ranges::find(state.recordedRuns, ref) != state.recordedRuns.end());
    CHECK(state.workers.at(SchedulerWorld::workerId(0)).health.avoidUntil == MonotonicTime());
}
