#include "SchedulerWorld.h"
#include "scheduler/Fences.h"
#include "scheduler/Fleet.h"
#include "scheduler/Jobs.h"
#include "scheduler/Placement.h"
#include "scheduler/Polls.h"
#include "scheduler/RunStarts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

constexpr Milliseconds longerThanGracePeriod { 1000 };

bool isRecorded(const SchedulerWorld& world, const std::string& job) { return world.storedState(job) == schema::JobState::Running; }

} // namespace

// LIMIT: the capacity was checked at the placement alone, and a recorded start can be held for seconds, in which the worker shrinks.
TEST_CASE("A recorded start is not sent to a worker that has shrunk since", "[capacity]")
{
    const bool isGang = GENERATE(false, true);
    INFO("gang " << isGang);
    SchedulerWorld world(2);
    world.run(Milliseconds(200));
    world.setStoreSilent(true);
    world.submit(makeJobSpec("a", { .counts = { 4 }, .cpuMillis = 1500, .isGang = isGang }));
    REQUIRE(world.runUntil([&] { return isRecorded(world, "a"); }, Milliseconds(1000)));
    world.setCapacity(0, 2000);
    world.run(longerThanGracePeriod);
    world.setStoreSilent(false);
    world.run(Milliseconds(600));
    CHECK(world.violations().empty());
    world.setCapacity(0, 4000);
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(5000)));
    CHECK(world.violations().empty());
}

// LIMIT: a start without an answer was sent again without a look at the capacity. The first one may not have arrived.
TEST_CASE("An unanswered start is not sent again to a worker that has shrunk since", "[capacity]")
{
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    world.setStartFault(0, StartResult::NoAnswer);
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 1500 }));
    REQUIRE(world.runUntil([&] { return isRecorded(world, "a"); }, Milliseconds(1000)));
    world.run(Milliseconds(100));
    world.setCapacity(0, 1000);
    world.run(Milliseconds(420));
    world.setStartFault(0, std::nullopt);
    world.run(Milliseconds(2000));
    CHECK(world.startCount() == 0);
    CHECK(world.violations().empty());
    world.setCapacity(0, 4000);
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(8000)));
}

// LIMIT: a run that the leader does not know is stopped, but until its end it takes capacity that the leader takes for free.
TEST_CASE("A worker that lists an unknown run gets no task until the run is gone", "[capacity]")
{
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    auto& state = world.state();
    auto& worker = state.workers.at(SchedulerWorld::workerId(0));
    Orders orders;
    const auto now = worker.lastAnswerAt;
    PollReport report { .born = worker.born, .clockMs = 1 };
    report.running.push_back({ { { GraphJobId("unknown"), 0, 0, 0 }, RunNumber(1) }, {}, 10, 0 });
    onPollReport(state, worker.id, report, now, now, 0, orders);
    addJob(state, makeJobSpec("a", { .counts = { 1 } }), nullptr, {}, now, 0);
    placeWaitingTasks(state, now, orders);
    CHECK(worker.runs.empty());
    onPollReport(state, worker.id, { .born = worker.born, .clockMs = 1 }, now, now, 0, orders);
    placeWaitingTasks(state, now + Milliseconds(100), orders);
    CHECK(worker.runs.size() == 1);
}

// Guards against ways around the check of a capacity that shrinks and grows: starts in flight, stops, lost answers, changes of the leader.
TEST_CASE("No interleaving starts a task beyond a capacity that shrinks and grows", "[capacity][seeds]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        FaultProbabilities chances;
        chances.lostAnswer = 0.05;
        chances.lostOrder = 0.03;
        chances.refusedCommit = 0.05;
        chances.leaderChange = 0.006;
        chances.cancel = 0.002;
        SchedulerWorld world(3, seed, chances);
        for (int i = 0; i < 12; ++i) {
            world.submit(
                makeJobSpec("a" + std::to_string(i), { .counts = { 4 }, .cpuMillis = 900, .estimateMs = 500, .isGang = i % 4 == 3 }));
            world.setCapacity(static_cast<unsigned>(random() % 3), static_cast<std::int64_t>(random() % 5) * 1000);
            world.run(Milliseconds(500 + random() % 700));
        }
        INFO((world.violations().empty() ? "" : world.violations().front()));
        CHECK(world.violations().empty());
    }
}

// LIMIT: an unknown run kept its worker from new placements only, so a start that had been recorded before exceeded the capacity.
TEST_CASE("A recorded start is not sent to a worker that lists an unknown run", "[capacity]")
{
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    world.setStoreSilent(true);
    world.submit(makeJobSpec("a", { .counts = { 1 }, .cpuMillis = 3000 }));
    auto& state = world.state();
    REQUIRE(world.runUntil([&] { return isRecorded(world, "a"); }, Milliseconds(2000)));
    auto& worker = state.workers.at(SchedulerWorld::workerId(0));
    Orders orders;
    const auto now = worker.lastAnswerAt;
    PollReport report { .born = worker.born, .clockMs = *worker.clockMs };
    report.running.push_back({ { { GraphJobId("unknown"), 0, 0, 0 }, RunNumber(1) }, {}, 10, 0 });
    onStartResult(state, *worker.runs.begin(), StartResult::StaleView, now, orders);
    REQUIRE(state.recordedRuns.size() == 1);
    onPollReport(state, worker.id, report, now, now, 0, orders);
    orders.clear();
    sendRecordedStarts(state, now, orders);
    CHECK(std::ranges::none_of(orders, [](const Order& it) { return std::holds_alternative<StartOrder>(it); }));
    // The next report shows that the run is gone.
    world.setStoreSilent(false);
    CHECK(world.runUntil([&] { return world.storedState("a") == schema::JobState::Completed; }, Milliseconds(3000)));
}

// LIMIT and ROUTE: a poll shows a restart before the list of workers does, and the new incarnation can be smaller or of another kind. Tasks
// were placed by the capacity and the labels of the one before.
TEST_CASE("A restarted worker gets no task before its new entry is known", "[capacity]")
{
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    auto& state = world.state();
    auto& worker = state.workers.at(SchedulerWorld::workerId(0));
    Orders orders;
    const auto now = worker.lastAnswerAt;
    const IncarnationTime born(worker.born.value() + 1);
    onPollReport(state, worker.id, { .born = born, .clockMs = 1 }, now, now, 0, orders);
    // It has to answer under a fencing token of its own as well.
    onTermCommit(state, Revision(state.term.value() + 1));
    worker.nextPollAt = now;
    schedulePolls(state, now, orders);
    onPollReport(state, worker.id, { .born = born, .clockMs = 2 }, now, now, 0, orders);
    REQUIRE(worker.hasSeenFence);
    addJob(state, makeJobSpec("a", { .counts = { 1 } }), nullptr, {}, now, 0);
    placeWaitingTasks(state, now, orders);
    CHECK(worker.runs.empty());
    WorkerEntry entry { .id = worker.id, .born = born, .service = worker.service, .address = worker.address };
    entry.capacity = worker.capacity;
    onWorkerListed(state, entry, now, orders);
    placeWaitingTasks(state, now + Milliseconds(100), orders);
    CHECK(worker.runs.size() == 1);
}
