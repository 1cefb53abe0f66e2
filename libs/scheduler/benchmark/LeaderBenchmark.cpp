#include "scheduler/Fleet.h"
#include "scheduler/Jobs.h"
#include "scheduler/Leases.h"
#include "scheduler/Polls.h"
#include "scheduler/RunStarts.h"
#include "scheduler/Runs.h"
#include "scheduler/Scheduler.h"

#include <benchmark/benchmark.h>

#include <algorithm>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;

namespace {

constexpr int standingTasksPerJob = 14;
constexpr std::int64_t wallMs = 1'700'000'000'000;
constexpr int servingImageCount = 10;
// Batch tasks of one step, and jobs of the backlog.
constexpr std::uint32_t stepTasks = 20;
constexpr int backlogJobs = 100;
// Effects of a filling image on a serving one: one that matters for placement, and one that leaves no slack.
constexpr double relevantEffect = 4;
constexpr double prohibitiveEffect = 16;
// Longer than the delay between two placement attempts of a job.
constexpr Milliseconds retryInterval { 25 };
constexpr Milliseconds pollInterval { 1000 };

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
    step->image = "image" + std::to_string(index % servingImageCount);
    spec->steps.push_back(std::move(step));
    return spec;
}

struct BatchDemand {
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMb = 0;
    bool isFilling = false;
    std::string image;
};

std::shared_ptr<schema::GraphJobSpecT> makeBatchSpec(int index, std::uint32_t taskCount, const BatchDemand& demand)
{
    auto spec = std::make_shared<schema::GraphJobSpecT>();
    spec->job = std::to_string(2'000'000'000'000'000 + index);
    spec->queue = "host/queue/";
    spec->accepted_at_ms = wallMs;
    spec->policy = std::make_unique<schema::QueuePolicyT>();
    spec->policy->service = "service";
    spec->policy->stretch = 2;
    auto step = std::make_unique<schema::StepSpecT>();
    step->count = taskCount;
    step->cpu_millis = demand.cpuMillis;
    step->memory_mb = demand.memoryMb;
    step->estimate_ms = 2000;
    step->fills = demand.isFilling;
    step->speculative = !demand.isFilling;
    step->image = demand.image;
    spec->steps.push_back(std::move(step));
    return spec;
}

const BatchDemand fillingDemand { 1800, 3200, true, "filling" };
const BatchDemand plainDemand { 2600, 5200, false, "plain" };

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

    // Polls all workers once a second, outside the measured time. Without it, all runs lapse and no worker is used.
    void pollIfDue(benchmark::State& bench)
    {
        if (now - polledAt < pollInterval)
            return;
        bench.PauseTiming();
        polledAt = now;
        for (auto& [id, worker] : state.workers) {
            poll(id);
            extendLease(state, worker, now);
        }
        orders.clear();
        bench.ResumeTiming();
    }

    State state;
    MonotonicTime now { std::chrono::hours(1) };
    MonotonicTime polledAt;
    Orders orders;
};

void ticks(benchmark::State& bench)
{
    Leader leader(static_cast<int>(bench.range(0)));
    for (auto _ : bench) {
        leader.now += Milliseconds(1);
        leader.pollIfDue(bench);
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

// Lets the model learn the effect of a filling image on every n-th serving image.
void learnEffect(State& state, const std::string& filling, double effect, int stride)
{
    const auto number = state.interference.getImageNumber(filling);
    for (int i = 0; i < servingImageCount; i += stride) {
        const auto serving = state.interference.getImageNumber("image" + std::to_string(i));
        for (const auto use : { 0.0, 0.5, 1.0 })
            state.interference.add({ serving, 2.4 - effect * use, 0, { { number, use } } });
    }
}

// Removes a job as if it had never been placed.
void removeJob(State& state, const GraphJobId& id, const std::map<WorkerId, Worker>& before, MonotonicTime now)
{
    for (auto& [number, occurrence] : state.jobs.at(id).occurrences) {
        for (std::uint32_t index = 0; index < occurrence.steps[0].tasks.size(); ++index) {
            const auto runs = occurrence.steps[0].tasks[index].runs;
            for (const auto& run : runs) {
                releaseRun(state, { { id, number, 0, index }, run.number }, now);
                state.workers.at(run.worker).minSlacks = before.at(run.worker).minSlacks;
            }
        }
    }
    state.active.erase(id);
    state.waiting.erase(id);
    state.dirty.erase(id);
    state.jobs.erase(id);
}

// The workers are nine tenths full of standing tasks. Each iteration places the tasks of one step, starting from the same state.
void placements(benchmark::State& bench, const BatchDemand& demand)
{
    Leader leader(static_cast<int>(bench.range(0)));
    auto& state = leader.state;
    learnEffect(state, demand.image, relevantEffect, 3);
    state.interference.refit();
    const auto before = state.workers;
    const auto spec = makeBatchSpec(0, static_cast<std::uint32_t>(bench.range(1)), demand);
    std::size_t placed = 0;
    for (auto _ : bench) {
        bench.PauseTiming();
        const auto* job = addJob(state, spec, nullptr, {}, leader.now, wallMs);
        bench.ResumeTiming();
        advance(state, leader.now, leader.orders);
        bench.PauseTiming();
        placed += countRuns(*job);
        removeJob(state, GraphJobId(spec->job), before, leader.now);
        leader.orders.clear();
        bench.ResumeTiming();
    }
    bench.counters["placed"] = static_cast<double>(placed) / static_cast<double>(bench.iterations());
}

// Demands that no worker can take, in turn for lack of CPU, of CPU headroom and of slack.
BatchDemand makeUnplaceableDemand(int index)
{
    const auto image = "backlog" + std::to_string(index);
    if (index % 3 == 0)
        return { 17'000 + index * 10, 5200, false, image };
    if (index % 3 == 1)
        return { 18'000 + index * 10, 3200, true, image };
    return { 1800, 3200, true, image };
}

// A pass that tries each job of a backlog and places none.
void backlogs(benchmark::State& bench)
{
    Leader leader(static_cast<int>(bench.range(0)));
    auto& state = leader.state;
    for (int i = 0; i < backlogJobs; ++i)
        learnEffect(state, makeUnplaceableDemand(i).image, prohibitiveEffect, 1);
    for (int i = 0; i < backlogJobs; ++i)
        addJob(state, makeBatchSpec(i, stepTasks, makeUnplaceableDemand(i)), nullptr, {}, leader.now, wallMs);
    state.interference.refit();
    // Fills the few workers without standing tasks, which have slack for any image.
    advance(state, leader.now, leader.orders);
    for (auto _ : bench) {
        leader.now += retryInterval;
        leader.pollIfDue(bench);
        advance(state, leader.now, leader.orders);
        leader.orders.clear();
    }
    bench.counters["waiting"]
        = static_cast<double>(std::ranges::count_if(state.jobs, [](const auto& it) { return it.second.hasWaitingTasks; }));
}

BENCHMARK(ticks)->Arg(66)->Arg(490)->Unit(benchmark::kMicrosecond);
BENCHMARK(passes)->Arg(66)->Arg(490)->Unit(benchmark::kMicrosecond);
BENCHMARK(polls)->Arg(66)->Arg(490)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(placements, filling, fillingDemand)->Args({ 490, stepTasks })->Args({ 490, 1 })->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(placements, plain, plainDemand)->Args({ 490, stepTasks })->Args({ 490, 1 })->Unit(benchmark::kMicrosecond);
BENCHMARK(backlogs)->Arg(490)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
