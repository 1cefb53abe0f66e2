#pragma once

#include "OpenStart.h"
#include "scheduler/EndAcks.h"
#include "scheduler/Polls.h"

namespace kingcuploom::scheduler::test {

inline constexpr std::uint64_t manyEnds = 1000;

// A run of which the first start had no answer and the second one had, to be ended by listEnd().
struct EndedRun : OpenStart {
    explicit EndedRun(const JobOptions& options = { .counts = { 1 } })
    {
        state.parameters = Parameters();
        state.ackDelays.total = manyEnds;
        ref = begin("b", options);
    }

    // Starts the only task of a job. Its first start has no answer, and the second one has.
    RunRef begin(const std::string& job, const JobOptions& options)
    {
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

} // namespace kingcuploom::scheduler::test
