#include "SchedulerWorld.h"
#include "scheduler/Jobs.h"
#include "scheduler/RunStarts.h"
#include "scheduler/Runs.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

TEST_CASE("Each changed job is committed in its turn while more jobs change than commits can take")
{
    // Guards against committing jobs in the order of their ids: while there is a backlog, the starts of jobs with high ids are never
    // recorded.
    constexpr Milliseconds batchDelay { 35 };
    constexpr std::size_t jobCount = 30;
    constexpr std::size_t jobsPerCommit = 5;
    MonotonicTime now { std::chrono::hours(1) };
    State state;
    std::map<GraphJobId, std::size_t> commits;
    for (std::size_t i = 0; i < jobCount; ++i) {
        const auto* job = addJob(state, makeJobSpec("job" + std::to_string(100 + i)), nullptr, {}, now, 0);
        commits[job->id] = 0;
    }
    constexpr std::size_t rounds = jobCount / jobsPerCommit * 2;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (auto& [id, job] : state.jobs) {
            if (!state.dirty.contains(id))
                markDirty(state, job, now, true);
        }
        auto order = orderCommits(state, now, batchDelay);
        order.resize(jobsPerCommit);
        for (const auto& id : order) {
            auto& job = state.jobs.at(id);
            state.dirty.erase(id);
            job.isUrgent = false;
            ++commits[id];
            onCommitted(state, id, job.version, {});
        }
        now += Milliseconds(100);
    }
    for (const auto& [id, count] : commits) {
        INFO("job " << id.value());
        CHECK(count == 2);
    }
}
