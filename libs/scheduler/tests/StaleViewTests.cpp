#include "SchedulerWorld.h"

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
