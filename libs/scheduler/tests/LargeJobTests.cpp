#include "SchedulerWorld.h"
#include "scheduler/Jobs.h"
#include "scheduler/RoomClaims.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;
using schema::JobState;

namespace {

constexpr std::uint32_t smallMs = 300;
constexpr std::uint32_t largeMs = 400;

// Jobs of one size, and how many of them were served: completed while the result was of use.
struct SizeCount {
    int jobs = 0;
    int served = 0;

    double share() const { return jobs == 0 ? 0 : static_cast<double>(served) / jobs; }
};

// A stream of jobs: every tenth is a large one.
struct Load {
    unsigned workers = 8;
    JobOptions small;
    JobOptions large;
    Milliseconds interval { 40 };
    Milliseconds length { 30'000 };
};

struct Outcome {
    SizeCount small;
    SizeCount large;
    Milliseconds longestLargeWait { 0 };

    double shareOfAll() const { return static_cast<double>(small.served + large.served) / (small.jobs + large.jobs); }
};

bool isServed(const Job& job)
{
    return job.state == JobState::Completed && *job.endedAt <= job.acceptedAt + (job.dueAt - job.acceptedAt) * 3;
}

Outcome play(const Load& load, std::uint64_t seed)
{
    SchedulerWorld world(load.workers, seed);
    world.run(Milliseconds(200));
    std::map<std::string, bool> jobs;
    const auto steps = load.length / load.interval;
    for (int i = 0; i < steps; ++i) {
        const bool isLarge = i % 10 == 9;
        const auto id = (isLarge ? "large" : "small") + std::to_string(1000 + i);
        world.submit(makeJobSpec(id, isLarge ? load.large : load.small));
        jobs[id] = isLarge;
        world.run(load.interval);
    }
    world.run(Milliseconds(10'000));
    Outcome outcome;
    for (const auto& [id, isLarge] : jobs) {
        const auto& job = world.state().jobs.at(GraphJobId(id));
        auto& count = isLarge ? outcome.large : outcome.small;
        ++count.jobs;
        count.served += isServed(job) ? 1 : 0;
        if (isLarge && job.endedAt) {
            const auto wait = std::chrono::duration_cast<Milliseconds>(*job.endedAt - job.acceptedAt);
            outcome.longestLargeWait = std::max(outcome.longestLargeWait, wait);
        }
    }
    CHECK(world.violations().empty());
    return outcome;
}

} // namespace

TEST_CASE("Jobs whose tasks need most of a worker are served at least half as often as all", "[sizes]")
{
    // Guards against small tasks that take each piece of a worker that becomes free, so that a task that needs more room never finds it
    // (issue 30).
    const auto seed = GENERATE(range(1, 4));
    // Of nine tenths, and of one and a quarter times the capacity.
    const auto interval = GENERATE(Milliseconds(46), Milliseconds(34));
    const bool isGang = GENERATE(false, true);
    Load load;
    load.small = { .counts = { 3 }, .cpuMillis = 1000, .estimateMs = smallMs };
    load.large = { .counts = { 4 }, .cpuMillis = 3500, .estimateMs = largeMs, .isGang = isGang };
    load.interval = interval;
    const auto outcome = play(load, static_cast<std::uint64_t>(seed));
    CAPTURE(seed, interval.count(), isGang, outcome.small.share(), outcome.large.share(), outcome.longestLargeWait.count());
    CHECK(outcome.large.share() >= outcome.shareOfAll() / 2);
}

TEST_CASE("Jobs that are large by their width alone are served at least half as often as all", "[sizes]")
{
    // Guards against the last tasks of a wide job waiting behind each job that arrives after it (issue 30).
    const auto seed = GENERATE(range(1, 4));
    const auto interval = GENERATE(Milliseconds(46), Milliseconds(34));
    Load load;
    load.small = { .counts = { 3 }, .cpuMillis = 1000, .estimateMs = smallMs };
    load.large = { .counts = { 7, 7 }, .cpuMillis = 1000, .estimateMs = largeMs };
    load.interval = interval;
    const auto outcome = play(load, static_cast<std::uint64_t>(seed));
    CAPTURE(seed, interval.count(), outcome.small.share(), outcome.large.share(), outcome.longestLargeWait.count());
    CHECK(outcome.large.share() >= outcome.shareOfAll() / 2);
}

TEST_CASE("Under a lasting overload of jobs that can be on time, no job waits until the load ends", "[sizes]")
{
    // Guards against an order without a bound on the wait: a job that has expired came after each job that could be on time, and began
    // when the load was over (issue 30). A job that declares a run time of a day must not use up the turn of all others.
    const bool hasDayLongJob = GENERATE(false, true);
    constexpr std::uint32_t dayMs = 86'400'000;
    constexpr int dayLongJobAt = 5;
    constexpr Milliseconds loadLength { 40'000 };
    constexpr Milliseconds interval { 20 };
    constexpr Milliseconds firstAccepted { 1000 };
    SchedulerWorld world(8);
    world.run(Milliseconds(200));
    std::vector<GraphJobId> first;
    for (int i = 0; i < loadLength / interval; ++i) {
        const auto id = "job" + std::to_string(10'000 + i);
        world.submit(makeJobSpec(id, { .counts = { 3 }, .cpuMillis = 1000, .estimateMs = smallMs }));
        if (i < firstAccepted / interval)
            first.emplace_back(id);
        if (i == dayLongJobAt && hasDayLongJob)
            world.submit(makeJobSpec("day", { .counts = { 1 }, .cpuMillis = 3500, .estimateMs = dayMs }));
        world.run(interval);
    }
    const auto ended = std::ranges::count_if(first, [&](const auto& id) { return hasEnded(world.state().jobs.at(id)); });
    CHECK(ended == static_cast<std::ptrdiff_t>(first.size()));
}

TEST_CASE("Claimed room is kept from tasks that would use it, and from no others", "[sizes]")
{
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    auto& state = world.state();
    auto& worker = state.workers.at(SchedulerWorld::workerId(0));
    const MonotonicTime now { std::chrono::hours(1) };
    const auto addWaiting = [&](const char* id, const JobOptions& options) -> const Job& {
        return *addJob(state, makeJobSpec(id, options), nullptr, {}, now, 0);
    };
    const auto& small = addWaiting("small", { .cpuMillis = 1000 });
    const auto& large = addWaiting("large", { .cpuMillis = 3500 });
    const auto& filling = addWaiting("filling", { .cpuMillis = 1000, .isFilling = true });
    const auto refOf = [](const Job& job) { return TaskRef { job.id, 0, 0, 0 }; };
    const RoomClaim claim { toStepRef(refOf(large)), getPolicy(state, large).priority, { 3500, 0, 0 }, 1 };
    worker.claim = claim;
    CHECK(isClaimedAgainst(state, worker, small, refOf(small)));
    CHECK(!isClaimedAgainst(state, worker, large, refOf(large)));
    CHECK(!isClaimedAgainst(state, worker, filling, refOf(filling)));
    // Of a queue with a lower priority.
    worker.claim->priority = getPolicy(state, small).priority + 1;
    CHECK(!isClaimedAgainst(state, worker, small, refOf(small)));
    // Beside the claimed room.
    worker.claim = claim;
    worker.claim->demand.cpuMillis = 3000;
    CHECK(!isClaimedAgainst(state, worker, small, refOf(small)));
}

// Guards against room that is kept from others although no task of the gang is left to use it.
TEST_CASE("A gang claims room for as many tasks as it has, whatever a worker may take of it", "[sizes]")
{
    SchedulerWorld world(1);
    world.run(Milliseconds(200));
    world.submit(makeJobSpec("day", { .counts = { 4 }, .estimateMs = 3'600'000 }));
    REQUIRE(world.runUntil([&] { return world.runningCount("day") == 4; }, Milliseconds(1000)));
    world.submit(makeJobSpec("gang", { .counts = { 2 }, .maxPerWorker = 4, .isGang = true }));
    const auto& worker = world.state().workers.at(SchedulerWorld::workerId(0));
    REQUIRE(world.runUntil([&] { return worker.claim.has_value(); }, Milliseconds(60'000)));
    CHECK(worker.claim->tasks == 2);
}

TEST_CASE("A size is underserved while clearly fewer of its jobs are served than of the queue", "[sizes]")
{
    ServedShares shares;
    const auto addAll = [&](int count, bool areLargeServed) {
        for (int i = 0; i < count; ++i)
            shares.add(i % 10 == 9 ? SizeClass::LargestTenth : SizeClass::SmallestHalf, i % 10 != 9 || areLargeServed);
    };
    addAll(100, false);
    CHECK(shares.isUnderserved(SizeClass::LargestTenth));
    CHECK(!shares.isUnderserved(SizeClass::SmallestHalf));
    addAll(300, true);
    CHECK(!shares.isUnderserved(SizeClass::LargestTenth));
    // A queue that is served badly as a whole has no underserved size if its jobs are of one.
    ServedShares single;
    for (int i = 0; i < 50; ++i)
        single.add(SizeClass::UpperMiddle, i % 4 == 0);
    CHECK(!single.isUnderserved(SizeClass::UpperMiddle));
}
