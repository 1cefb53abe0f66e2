#include "SchedulerWorld.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;
using schema::JobState;

namespace {

const StepRef firstStep { GraphJobId("a"), 0, 0 };

} // namespace

TEST_CASE("Tasks of an advised queue run only on workers with a ticket, after one request")
{
    // Guards against starts without a ticket: executors refuse them, so the jobs of such a queue would wait forever.
    SchedulerWorld world(5);
    world.setAllowedWorkers({ 1, 3 });
    world.submit(makeJobSpec("a", { .counts = { 6 }, .isAdvised = true }));
    REQUIRE(world.runUntil([&] { return world.storedState("a") == JobState::Completed; }, Milliseconds(4000)));
    CHECK(world.violations().empty());
    CHECK(world.adviceRequestCount() == 1);
}

TEST_CASE("Tickets are requested again when they run out, and by the next leader")
{
    SchedulerWorld world(4);
    world.setAllowedWorkers({ 2 });
    world.submit(makeJobSpec("a", { .counts = { 2, 2, 2 }, .estimateMs = 1500, .isAdvised = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 2; }, Milliseconds(1000)));
    world.changeLeader();
    REQUIRE(world.runUntil([&] { return world.storedState("a") == JobState::Completed; }, Milliseconds(9000)));
    CHECK(world.violations().empty());
}

TEST_CASE("A permit expires with the worker's incarnation and with its validity")
{
    SchedulerWorld world(2);
    auto& state = world.state();
    world.submit(makeJobSpec("a", { .counts = { 1 }, .isAdvised = true }));
    auto& worker = state.workers.at(SchedulerWorld::workerId(0));
    const MonotonicTime now { std::chrono::hours(2) };
    Orders orders;
    state.advice[firstStep];
    const AdviceOrder order { firstStep, { worker.id, SchedulerWorld::workerId(1) } };
    onAdvice(state, order, Advice { { { worker.id, "t" } }, Milliseconds(3000) }, now, now, orders);
    REQUIRE(findPermit(state, firstStep, worker, now));
    CHECK(findPermit(state, firstStep, worker, now)->ticket == "t");
    CHECK(isBarred(state, firstStep, state.workers.at(SchedulerWorld::workerId(1))));
    CHECK(!isBarred(state, firstStep, worker));
    CHECK(!findPermit(state, firstStep, worker, now + Milliseconds(2900)));
    worker.born = IncarnationTime(worker.born.value() + 1);
    CHECK(!findPermit(state, firstStep, worker, now));
}

TEST_CASE("At most two advice requests are in flight, and a failed request is retried only after a delay")
{
    // Guards against overloading the adviser, which answers 429 once 32 calls are queued.
    State state;
    Orders orders;
    const MonotonicTime now { std::chrono::hours(1) };
    const std::vector<WorkerId> workers { WorkerId("w") };
    for (const char* job : { "a", "b", "c" })
        requestAdvice(state, { GraphJobId(job), 0, 0 }, workers, now, orders);
    REQUIRE(orders.size() == 2);
    const auto first = std::get<AdviceOrder>(orders.front());
    onAdvice(state, first, makeUnexpected(AdviceError::Busy), now, now, orders);
    orders.clear();
    requestAdvice(state, first.step, workers, now, orders);
    CHECK(orders.empty());
    requestAdvice(state, { GraphJobId("c"), 0, 0 }, workers, now, orders);
    CHECK(orders.size() == 1);
}

TEST_CASE("A recorded start whose permit has expired waits for a new permit on the same worker")
{
    // Guards against releasing the run and placing the task again: if commits take longer than a permit is valid, it then never starts.
    for (auto commitTime = Milliseconds(100); commitTime <= Milliseconds(1500); commitTime += Milliseconds(200)) {
        SchedulerWorld world(3);
        world.setAllowedWorkers({ 0, 2 });
        world.setAdviceValidity(Milliseconds(600));
        world.setCommitTime(commitTime);
        world.submit(makeJobSpec("a", { .counts = { 2 }, .isLongRunning = true, .isAdvised = true }));
        INFO("commit time in ms: " << commitTime.count());
        CHECK(world.runUntil([&] { return world.runningCount("a") == 2; }, commitTime + Milliseconds(1000)));
        CHECK(world.violations().empty());
    }
}

TEST_CASE("A recorded start is released if the next answer of the adviser omits its worker")
{
    // Guards against waiting for a permit that is never issued.
    SchedulerWorld world(2);
    world.setAllowedWorkers({ 0 });
    world.setAdviceValidity(Milliseconds(600));
    world.setCommitTime(Milliseconds(1000));
    world.submit(makeJobSpec("a", { .counts = { 1 }, .isLongRunning = true, .isAdvised = true }));
    world.run(Milliseconds(500));
    world.setAllowedWorkers({ 1 });
    world.state().advice.at(firstStep).barred.clear();
    CHECK(world.runUntil([&] { return world.runningCount("a") == 1; }, Milliseconds(4000)));
    CHECK(world.violations().empty());
}

TEST_CASE("The members of a gang are started together although the permit of one has expired")
{
    // Guards against members that wait at their workers for one that is held back, and end alone.
    SchedulerWorld world(2);
    world.setAllowedWorkers({ 0, 1 });
    world.setCommitTime(Milliseconds(500));
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 3000, .estimateMs = 3000, .isGang = true, .isAdvised = true }));
    auto& state = world.state();
    REQUIRE(world.runUntil([&] { return countRuns(state.jobs.at(GraphJobId("a"))) == 2; }, Milliseconds(500)));
    dropPermit(state, firstStep, SchedulerWorld::workerId(0));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") > 0; }, Milliseconds(1000)));
    world.step();
    CHECK(world.runningCount("a") == 2);
}
