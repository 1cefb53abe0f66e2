#include "OpenStart.h"
#include "scheduler/EndAcks.h"
#include "scheduler/JobRecords.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

// Acknowledgements of ends of runs of which a start has no answer. The next incarnation of the worker, which knows nothing of the end, may
// carry that start out.
namespace {

constexpr std::uint64_t manyEnds = 1000;

struct EndedRun : OpenStart {
    explicit EndedRun(const JobOptions& options = {})
    {
        state.parameters = Parameters();
        state.ackDelays.listed = manyEnds;
        ref = begin("b", options);
    }

    // Starts the only task of a job. Its first start has no answer, and the second one has.
    RunRef begin(const std::string& job, JobOptions options)
    {
        options.counts = { 1 };
        RunRef run { { GraphJobId(job), 0, 0, 0 }, RunNumber(1) };
        addJob(state, makeJobSpec(job, options), nullptr, {}, now, 0);
        placeWaitingTasks(state, now, orders);
        commit(run.task.job);
        sendRecordedStarts(state, now, orders);
        onStartResult(state, run, StartResult::NoAnswer, now, orders);
        commit(run.task.job);
        sendRecordedStarts(state, now, orders);
        onStartResult(state, run, StartResult::Started, now, orders);
        return run;
    }

    void commit(const GraphJobId& id) { onCommitted(state, id, state.jobs.at(id).version, Revision(1)); }

    void listEnd(EndKind kind, MonotonicTime at, std::int64_t number = 1)
    {
        PollReport report { .born = worker.born, .clockMs = 3000 };
        report.ends.push_back({ EndNumber(number), ref, kind, {} });
        onPollReport(state, worker.id, report, at, at, 0, orders);
        if (findJob(state, ref.task.job))
            commit(ref.task.job);
    }

    EndNumber cursor(MonotonicTime at)
    {
        advanceEndCursor(state, worker, at, orders);
        return worker.lastCommittedEnd;
    }

    bool hasDecision(const std::string& event, const std::string& reason) const
    {
        return std::ranges::any_of(orders, [&](const Order& it) {
            const auto* decision = std::get_if<Decision>(&it);
            return decision && decision->event == event && decision->reason == reason;
        });
    }
};

} // namespace

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
    EndedRun it({ .isSpeculative = !isStanding, .isLongRunning = isStanding });
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

// Guards the rule on acknowledgements where many starts have no answer: most ends are still acknowledged in time.
TEST_CASE("Only a share of the ends waits longer than the limit", "[late_orders]")
{
    constexpr int endCount = 20;
    EndedRun it;
    it.state.ackDelays.listed = 0;
    for (int i = 0; i < endCount; ++i) {
        it.ref = it.begin("job" + std::to_string(i), { .cpuMillis = 10 });
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
