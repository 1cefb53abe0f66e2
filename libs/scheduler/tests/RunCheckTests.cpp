#include "RandomFleet.h"
#include "scheduler/Health.h"
#include "scheduler/Runs.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

constexpr std::uint64_t fleetCount = 300;
// Times after which the checks act, in the random fleets.
constexpr unsigned minMissedPolls = 2;
constexpr Milliseconds resendDelay { 100 };
constexpr Milliseconds standingStallTimeout { 4000 };
constexpr Milliseconds recentAnswer { 1300 };

std::string describe(const RunRef& ref, const Run& run)
{
    return toString(ref) + " in phase " + std::to_string(static_cast<int>(run.phase));
}

// Calls the visitor with each run that a worker may execute.
template <typename Visitor> void visitRuns(State& state, const Visitor& visit)
{
    for (auto& [id, worker] : state.workers) {
        for (const auto& ref : worker.runs)
            visit(worker, ref, *findRun(state, ref));
    }
}

bool isUnneeded(State& state, const RunRef& ref) { return hasEnded(*findJob(state, ref.task.job)) || findTask(state, ref.task)->isDone; }

} // namespace

TEST_CASE("The check of runs passes over no run that needs an order or has lapsed", "[seeds]")
{
    // Guards against the selection of runs before the check leaving out runs: their starts and stops would not be sent again, and their
    // tasks would stay on a lapsed worker.
    std::size_t orderCount = 0;
    std::size_t heldCount = 0;
    for (std::uint64_t seed = 1; seed <= fleetCount; ++seed) {
        INFO("seed " << seed);
        auto state = makeRandomFleet(seed);
        Orders orders;
        checkRuns(state, fleetTime, orders);
        orderCount += orders.size();
        visitRuns(state, [&](const Worker& worker, const RunRef& ref, const Run& run) {
            INFO(describe(ref, run));
            const bool isUnanswered = run.phase == RunPhase::Starting || (run.phase == RunPhase::Stopping && !run.stopConfirmedAt);
            const bool isLapsed = worker.hasSeenFence && run.phase != RunPhase::Unverified && !isUnsent(run) && worker.leaseEnd < fleetTime;
            REQUIRE_FALSE((run.phase == RunPhase::Running && isUnneeded(state, ref)));
            REQUIRE_FALSE((isUnanswered && !run.isOrderInFlight && fleetTime - run.orderedAt >= resendDelay));
            // A worker that has not missed polls may hold the end of the run, which the leader has only not read yet.
            const bool isSilent = !worker.isListed || worker.missedPolls >= minMissedPolls;
            REQUIRE_FALSE((isLapsed && isSilent));
            heldCount += isLapsed ? 1 : 0;
        });
    }
    CHECK(orderCount > fleetCount);
    CHECK(heldCount > 0);
}

TEST_CASE("The check of progress passes over no standing task that is stalled", "[seeds]")
{
    // Guards against the selection of stalled runs before the check leaving out runs, which would then never be restarted.
    std::size_t orderCount = 0;
    for (std::uint64_t seed = 1; seed <= fleetCount; ++seed) {
        INFO("seed " << seed);
        auto state = makeRandomFleet(seed);
        Orders orders;
        checkProgress(state, fleetTime, orders);
        orderCount += orders.size();
        visitRuns(state, [&](const Worker& worker, const RunRef& ref, const Run& run) {
            INFO(describe(ref, run));
            const bool isStanding = getStepSpec(*findJob(state, ref.task.job), ref.task.step).long_running;
            const bool isWatched = run.phase == RunPhase::Running && run.isListed && fleetTime - worker.lastAnswerAt <= recentAnswer;
            const bool isStalled = run.percent < 100 && worker.reportedAt - run.percentChangedAt > standingStallTimeout;
            REQUIRE_FALSE((isStanding && isWatched && isStalled));
        });
    }
    CHECK(orderCount > fleetCount);
}
