#include "SchedulerWorld.h"
#include "scheduler/Urgency.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;
using schema::JobState;

namespace {

constexpr std::uint32_t workMs = 400;
constexpr std::int64_t wholeWorkerMillis = 4000;

} // namespace

TEST_CASE("At twice the capacity, jobs that are already late do not make the next ones late")
{
    // Guards against earliest deadline first under overload: one in six jobs of this load was on time, where one in two can be.
    SchedulerWorld world(1);
    int inTime = 0;
    constexpr int count = 40;
    std::map<std::string, MonotonicTime> due;
    for (int i = 0; i < count; ++i) {
        const auto name = "job" + std::to_string(100 + i);
        world.submit(makeJobSpec(name, { .counts = { 1 }, .cpuMillis = wholeWorkerMillis, .estimateMs = workMs }));
        due[name] = world.state().jobs.at(GraphJobId(name)).dueAt;
        world.run(Milliseconds(workMs / 2));
    }
    world.run(Milliseconds(20'000));
    for (const auto& [name, time] : due) {
        const auto& job = world.state().jobs.at(GraphJobId(name));
        CHECK(job.state == JobState::Completed);
        inTime += job.endedAt && *job.endedAt <= time ? 1 : 0;
    }
    CHECK(inTime >= count * 4 / 10);
}

TEST_CASE("Waiting jobs get room by priority, then by deadline status")
{
    State state;
    const MonotonicTime now { std::chrono::hours(1) };
    const auto add = [&](const char* id, const JobOptions& options, std::int64_t ageMs) -> const Job& {
        auto spec = makeJobSpec(id, options);
        spec->accepted_at_ms = 1'000'000 - ageMs;
        return *addJob(state, spec, nullptr, {}, now, 1'000'000);
    };
    // Due 1,050 ms after acceptance; useful until 3,150 ms.
    const auto& fresh = add("fresh", { .counts = { 1 }, .estimateMs = workMs }, 0);
    const auto& older = add("older", { .counts = { 1 }, .estimateMs = workMs }, 500);
    const auto& late = add("late", { .counts = { 1 }, .estimateMs = workMs }, 1000);
    const auto& later = add("later", { .counts = { 1 }, .estimateMs = workMs }, 2000);
    const auto& overdue = add("overdue", { .counts = { 1 }, .estimateMs = workMs }, 4000);
    const auto& standing = add("standing", { .counts = { 1 }, .isLongRunning = true }, 100);
    const auto of = [&](const Job& job) { return computeUrgency(state, job, now); };
    CHECK(of(older) < of(fresh));
    CHECK(of(fresh) < of(standing));
    CHECK(of(standing) < of(later));
    CHECK(of(later) < of(late));
    CHECK(of(late) < of(overdue));
}

// LOST (issues 26 and 52, review/8): standing tasks that had lost their workers were down for 18 s and more, as jobs that could be on time
// took the room of a full fleet as it came free.
TEST_CASE("A standing task that has lost its worker runs again within seconds on a full fleet")
{
    constexpr unsigned workers = 3;
    constexpr Milliseconds submitInterval { 20 };
    constexpr Milliseconds maxDowntime { 8000 };
    SchedulerWorld world(workers);
    world.submit(makeJobSpec("standing", { .counts = { 1 }, .cpuMillis = 3000, .isLongRunning = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("standing") == 1; }, Milliseconds(2000)));
    int count = 0;
    const auto runLoaded = [&](Milliseconds time) {
        for (Milliseconds passed { 0 }; passed < time; passed += submitInterval) {
            world.submit(makeJobSpec("job" + std::to_string(count++), { .counts = { 1 }, .cpuMillis = 1000, .estimateMs = workMs }));
            world.run(submitInterval);
        }
    };
    runLoaded(Milliseconds(2000));
    const auto host = findTask(world.state(), { GraphJobId("standing"), 0, 0, 0 })->runs.front().worker;
    for (unsigned i = 0; i < workers; ++i) {
        if (SchedulerWorld::workerId(i) == host)
            world.removeWorker(i);
    }
    runLoaded(maxDowntime);
    CHECK(world.runningCount("standing") == 1);
    CHECK(world.violations().empty());
}

TEST_CASE("The remaining critical path counts only steps that are not done")
{
    SchedulerWorld world(2);
    world.submit(makeJobSpec("a", { .counts = { 1, 1 }, .estimateMs = workMs }));
    auto& job = world.state().jobs.at(GraphJobId("a"));
    CHECK(computeRemainingCriticalPath(job) == Milliseconds(2 * workMs));
    REQUIRE(world.runUntil([&] { return job.occurrences.at(0).doneSteps == 1; }, Milliseconds(2000)));
    CHECK(computeRemainingCriticalPath(job) == Milliseconds(workMs));
}
