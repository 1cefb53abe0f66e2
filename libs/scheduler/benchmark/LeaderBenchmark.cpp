#include "scheduler/Fleet.h"
#include "scheduler/Jobs.h"
#include "scheduler/Runs.h"
#include "scheduler/Scheduler.h"

#include <benchmark/benchmark.h>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;

namespace {

constexpr int standingTasksPerJob = 14;
constexpr std::int64_t wallMs = 1'700'000'000'000;

WorkerId makeWorkerId(int index) { return WorkerId("i-" + std::to_string(1'000'000'000 + index)); }

std::shared_ptr<schema::GraphJobSpecT> makeStandingSpec(int index)
{
    auto spec = std::make_shared<schema::GraphJobSpecT>();
    spec->job = std::to_string(1'000'000'000'000'000 + index);
    spec->queue = "host/queue/";
    spec->accepted_at_ms = wallMs;
    spec->policy = std::make_unique<schema::QueuePolicyT>();
    spec->policy->service = "service";
    spec->policy->stretch = 2;
    auto step = std::make_unique<schema::StepSpecT>();
    step->count = standingTasksPerJob;
    step->cpu_millis = 3200;
    step->memory_mb = 6400;
    step->estimate_ms = 320;
    step->long_running = true;
    step->target_ms = 45;
    step->image = "image" + std::to_string(index % 10);
    spec->steps.push_back(std::move(step));
    return spec;
}

// A leader in steady state: as many standing tasks as the workers hold, all executed.
struct Leader {
    explicit Leader(int workerCount)
    {
        for (int i = 0; i < workerCount; ++i) {
            WorkerEntry entry;
            entry.id = makeWorkerId(i);
            entry.born = IncarnationTime(1);
            entry.service = ServiceName("service");
            entry.address = Address("10.0.0.1:1");
            entry.domain = FailureDomain("north");
            entry.rack = Rack("r" + std::to_string(i / 12));
            entry.capacity = { 16'000, 64'000, 0 };
            onWorkerListed(state, entry, now, orders);
            poll(entry.id);
        }
        for (int i = 0; i < workerCount / 3; ++i)
            addJob(state, makeStandingSpec(i), nullptr, {}, now, wallMs);
        advance(state, now, orders);
        for (const auto& id : std::set<GraphJobId>(state.active))
            onCommitted(state, id, state.jobs.at(id).version, Revision(1));
        state.dirty.clear();
        advance(state, now, orders);
        for (const auto& order : std::exchange(orders, {})) {
            if (const auto* start = std::get_if<StartOrder>(&order))
                onStartResult(state, start->run, StartResult::Started, now, orders);
        }
        for (const auto& [id, worker] : state.workers)
            poll(id);
        orders.clear();
    }

    void poll(const WorkerId& id)
    {
        PollReport report;
        report.born = IncarnationTime(1);
        report.clockMs = 1000;
        for (const auto& run : state.workers.at(id).runs)
            report.running.push_back({ run, {}, 100, 20 });
        onPollReport(state, id, report, now, now, wallMs, orders);
    }

    State state;
    MonotonicTime now { std::chrono::hours(1) };
    Orders orders;
};

void ticks(benchmark::State& bench)
{
    Leader leader(static_cast<int>(bench.range(0)));
    for (auto _ : bench) {
        leader.now += Milliseconds(1);
        onTick(leader.state, leader.now, wallMs, leader.orders);
        leader.orders.clear();
    }
}

void passes(benchmark::State& bench)
{
    Leader leader(static_cast<int>(bench.range(0)));
    for (auto _ : bench) {
        advance(leader.state, leader.now, leader.orders);
        retireJobs(leader.state);
        leader.orders.clear();
    }
}

void polls(benchmark::State& bench)
{
    Leader leader(static_cast<int>(bench.range(0)));
    int next = 0;
    for (auto _ : bench) {
        leader.now += Milliseconds(1);
        leader.poll(makeWorkerId(next++ % static_cast<int>(bench.range(0))));
        leader.orders.clear();
    }
}

BENCHMARK(ticks)->Arg(66)->Arg(490)->Unit(benchmark::kMicrosecond);
BENCHMARK(passes)->Arg(66)->Arg(490)->Unit(benchmark::kMicrosecond);
BENCHMARK(polls)->Arg(66)->Arg(490)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
