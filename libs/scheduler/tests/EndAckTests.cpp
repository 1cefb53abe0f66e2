#include "EndedRun.h"
#include "scheduler/JobRecords.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

// Acknowledgements of ends of runs of which a start has no answer. The next incarnation of the worker, which knows nothing of the end, may
// carry that start out.

// TWICE and BUDGET (issue 50, review/7): the end was acknowledged, the worker restarted, and carried out the first start of the run.
TEST_CASE("The end of a run waits for its acknowledgement while a start may be carried out late", "[late_orders]")
{
    const auto kind = GENERATE(EndKind::Done, EndKind::Failed);
    EndedRun it;
    it.listEnd(kind, it.now);
    CHECK(it.cursor(it.now) == EndNumber());
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay) == EndNumber());
    CHECK(it.hasDecision("end_ack_held", "starts_open"));
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay + Milliseconds(1)) == EndNumber(1));
    CHECK(it.hasDecision("end_ack_released", "starts_expired"));
}

// TWICE (issue 55): one end stands for all members of a gang. It was acknowledged at once, while a start of another member on the worker
// could still be carried out by the worker's next incarnation.
TEST_CASE("The end of a member of a gang waits for the late starts of the others on its worker", "[late_orders]")
{
    EndedRun it;
    it.ref = it.begin("gang", { .counts = { 2 }, .cpuMillis = 10, .isGang = true });
    const RunRef other { { it.ref.task.job, 0, 0, 1 }, RunNumber(1) };
    findRun(it.state, it.ref)->openStarts = 0;
    onStartResult(it.state, other, StartResult::NoAnswer, it.now, it.orders);
    it.listEnd(EndKind::Done, it.now);
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay) == EndNumber());
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay + Milliseconds(1)) == EndNumber(1));
}

// Guards against acknowledgements that wait for no reason (the rule on acknowledgements): other ends count neither as executions nor as
// attempts.
TEST_CASE("The end of a run that was stopped is acknowledged at once", "[late_orders]")
{
    const auto kind = GENERATE(EndKind::Stopped, EndKind::Lapsed, EndKind::GangMemberEnded, EndKind::GangIncomplete);
    EndedRun it;
    it.listEnd(kind, it.now);
    CHECK(it.cursor(it.now) == EndNumber(1));
}

// As above: these tasks may be executed again.
TEST_CASE("The end of a speculative or standing task is acknowledged at once", "[late_orders]")
{
    const bool isStanding = GENERATE(true, false);
    EndedRun it({ .counts = { 1 }, .isSpeculative = !isStanding, .isLongRunning = isStanding });
    it.listEnd(EndKind::Failed, it.now);
    CHECK(it.cursor(it.now) == EndNumber(1));
}

// TWICE: a new leader takes over while the run is executing. Its predecessor sent the start that has no answer.
TEST_CASE("A new leader holds the end of a run that its predecessor started twice", "[late_orders]")
{
    EndedRun it;
    const auto id = it.ref.task.job;
    const auto record = makeProgressRecord(it.state, it.state.jobs.at(id));
    it.state.jobs.erase(id);
    it.worker.runs.erase(it.ref);
    it.state.termStartedAt = it.now;
    addJob(it.state, makeJobSpec("b", { .counts = { 1 } }), &record, {}, it.now, 0);
    it.listEnd(EndKind::Done, it.now);
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay) == EndNumber());
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay * 2) == EndNumber(1));
}

// TWICE: as above, and the predecessor has stored the end, so that its record shows no run, and the job has ended or goes on.
TEST_CASE("A new leader holds an end that its predecessor held", "[late_orders]")
{
    const bool isJobStored = GENERATE(true, false);
    EndedRun it;
    it.listEnd(EndKind::Done, it.now);
    const auto id = it.ref.task.job;
    const auto record = makeProgressRecord(it.state, it.state.jobs.at(id));
    it.state.jobs.erase(id);
    it.state.active.erase(id);
    it.state.ended.erase(id);
    it.state.dirty.erase(id);
    it.state.lateStarts.clear();
    it.worker.uncommittedEnds.clear();
    it.worker.lastSeenEnd = {};
    it.state.termStartedAt = it.now;
    if (isJobStored)
        addJob(it.state, makeJobSpec("b", { .counts = { 1 } }), &record, {}, it.now, 0);
    else
        addEndedJob(it.state, record, {}, it.now);
    it.listEnd(EndKind::Done, it.now);
    CHECK(it.cursor(it.now) == EndNumber());
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay + Milliseconds(1)) == EndNumber(1));
}

// TWICE (issue 55): a leader that had just taken over had seen one end. It held it for 2 s only, as one was more than a tenth of its ends.
TEST_CASE("A leader that has seen few ends holds an end for as long as others", "[late_orders]")
{
    EndedRun it;
    it.state.ackDelays.total = 0;
    it.listEnd(EndKind::Done, it.now);
    CHECK(it.cursor(it.now + it.state.parameters.ackDelayLimit + Milliseconds(1)) == EndNumber());
    CHECK(it.cursor(it.now + it.state.parameters.maxOrderDelay) == EndNumber());
}

// Guards the rule on acknowledgements where many starts have no answer: most ends are still acknowledged in time.
TEST_CASE("Only a share of the ends waits longer than the limit", "[late_orders]")
{
    constexpr int endCount = 20;
    EndedRun it;
    it.state.ackDelays.total = 0;
    it.state.parameters.delayedAcks.allowance = 0;
    for (int i = 0; i < endCount; ++i) {
        it.ref = it.begin("job" + std::to_string(i), { .counts = { 1 }, .cpuMillis = 10 });
        it.listEnd(EndKind::Done, it.now, i + 1);
    }
    const auto limit = it.state.parameters.ackDelayLimit;
    CHECK(it.cursor(it.now + limit) == EndNumber());
    // The cursor is a prefix, and a tenth of all ends is two.
    CHECK(it.cursor(it.now + limit + Milliseconds(1)) == EndNumber(endCount - 2));
    CHECK(it.state.ackDelays.delayed == 2);
    CHECK(it.hasDecision("end_ack_released", "delayed_share"));
}

// Guards against ends that callers wait for, as the report holds no more.
TEST_CASE("No end is held while the worker has more ends than fit into a report", "[late_orders]")
{
    EndedRun it;
    it.listEnd(EndKind::Done, it.now);
    it.worker.areEndsCut = true;
    CHECK(it.cursor(it.now) == EndNumber(1));
    CHECK(it.hasDecision("end_ack_released", "report_full"));
}

// Guards against polls in quick succession, which the worker answers at once while it has ends.
TEST_CASE("A worker with a held end is polled less often", "[late_orders]")
{
    EndedRun it;
    it.listEnd(EndKind::Done, it.now);
    const auto before = it.worker.nextPollAt;
    it.cursor(it.now);
    it.listEnd(EndKind::Done, it.now);
    CHECK(it.worker.nextPollAt > before);
}
