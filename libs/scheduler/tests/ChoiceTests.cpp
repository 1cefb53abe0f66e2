#include "RandomFleet.h"
#include "RejectReason.h"
#include "StepCandidates.h"
#include "scheduler/Pacing.h"
#include "scheduler/Placement.h"
#include "scheduler/Reservations.h"
#include "scheduler/Runs.h"
#include "scheduler/Urgency.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

constexpr std::uint64_t fleetCount = 300;

using Placement = std::pair<std::string, WorkerId>;

// Reference for the choice of a worker: compares the task with each worker of the fleet.
Worker* choosePlainly(State& state, const Job& job, const TaskRef& ref, const Task& task, const Rack* rack = nullptr)
{
    Worker* best = nullptr;
    auto bestScore = -std::numeric_limits<double>::infinity();
    for (auto& [id, worker] : state.workers) {
        const bool isConsidered = !rack || worker.rack == *rack;
        if (!isConsidered || findRejectReason(state, worker, job, ref, fleetTime) != RejectReason::None)
            continue;
        const auto score = computeScore(state, worker, job, ref.step, hasFailedOn(task, worker), fleetTime);
        if (score > bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

bool isPlaceable(const Task& task) { return !task.isDone && task.runs.empty() && task.notBefore <= fleetTime; }

void placePlainly(State& state, Job& job, std::uint32_t stepNumber, std::vector<Placement>& placements)
{
    const auto& spec = getStepSpec(job, stepNumber);
    auto& tasks = job.occurrences.at(0).steps[stepNumber].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (!isPlaceable(task))
            continue;
        const TaskRef ref { job.id, 0, stepNumber, index };
        auto* worker = choosePlainly(state, job, ref, task);
        if (!worker)
            return;
        task.runs.push_back({ task.lastRun.next(), worker->id });
        reserve(state, { ref, task.lastRun.next() }, worker->id);
        if (spec.fills)
            reserveSlack(state, *worker, job.images[stepNumber], spec.cpu_millis);
        placements.emplace_back(toString(RunRef { ref, task.lastRun.next() }), worker->id);
    }
}

// Reserves all members or none.
bool reserveGangPlainly(State& state, const Job& job, std::uint32_t stepNumber, const Rack* rack, std::vector<Placement>& placements)
{
    const auto& tasks = job.occurrences.at(0).steps[stepNumber].tasks;
    std::vector<std::pair<RunRef, WorkerId>> chosen;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskRef ref { job.id, 0, stepNumber, index };
        const auto* worker = choosePlainly(state, job, ref, tasks[index], rack);
        if (!worker)
            break;
        chosen.emplace_back(RunRef { ref, RunNumber(1) }, worker->id);
        reserve(state, chosen.back().first, worker->id);
    }
    const bool isComplete = chosen.size() == tasks.size();
    for (const auto& [ref, id] : chosen) {
        if (isComplete)
            placements.emplace_back(toString(ref), id);
        else
            unreserve(state, ref, id);
    }
    return isComplete;
}

void placeGangPlainly(State& state, const Job& job, std::uint32_t stepNumber, std::vector<Placement>& placements)
{
    if (!std::ranges::all_of(job.occurrences.at(0).steps[stepNumber].tasks, isPlaceable))
        return;
    if (!getStepSpec(job, stepNumber).same_rack) {
        reserveGangPlainly(state, job, stepNumber, nullptr, placements);
        return;
    }
    std::set<Rack> racks;
    std::ranges::for_each(state.workers, [&](const auto& entry) { racks.insert(entry.second.rack); });
    std::ranges::any_of(racks, [&](const Rack& rack) { return reserveGangPlainly(state, job, stepNumber, &rack, placements); });
}

std::vector<Placement> placeAllPlainly(State& state)
{
    std::vector<std::pair<Urgency, Job*>> jobs;
    for (const auto& id : state.active)
        jobs.emplace_back(computeUrgency(state, state.jobs.at(id), fleetTime), &state.jobs.at(id));
    std::ranges::stable_sort(jobs, {}, [](const auto& it) { return it.first; });
    std::vector<Placement> placements;
    for (const auto& [urgency, job] : jobs) {
        for (std::uint32_t step = 0; step < job->spec->steps.size(); ++step) {
            if (getStepSpec(*job, step).gang)
                placeGangPlainly(state, *job, step, placements);
            else
                placePlainly(state, *job, step, placements);
        }
    }
    return placements;
}

std::vector<Placement> listPlacements(const Orders& orders)
{
    std::vector<Placement> placements;
    for (const auto& order : orders) {
        const auto* decision = std::get_if<Decision>(&order);
        if (decision && decision->event == "run_placed")
            placements.emplace_back(decision->run, decision->worker);
    }
    return placements;
}

} // namespace

TEST_CASE("A pass places each task on the worker that a plain comparison with all workers gives", "[seeds]")
{
    // Guards against what a pass keeps for several tasks (open workers, their room, the scores of a step) differing from the fleet's state.
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= fleetCount; ++seed) {
        INFO("seed " << seed);
        auto state = makeRandomFleet(seed);
        auto reference = state;
        Orders orders;
        placeWaitingTasks(state, fleetTime, orders);
        const auto placements = listPlacements(orders);
        count += placements.size();
        REQUIRE(placements == placeAllPlainly(reference));
    }
    CHECK(count > 10 * fleetCount);
}

namespace {

// Compares the estimates of all workers with those of copies that keep nothing from before.
void checkEstimates(const State& state)
{
    for (const auto& [id, worker] : state.workers) {
        auto fresh = worker;
        fresh.areExpectedLossesStale = true;
        for (std::uint32_t image = 0; image < 5; ++image) {
            const auto kept = estimateFilling(state, worker, ImageNumber(image), 1800);
            const auto expected = estimateFilling(state, fresh, ImageNumber(image), 1800);
            REQUIRE(kept.pace == expected.pace);
            REQUIRE(kept.lostSlack == expected.lostSlack);
        }
    }
}

} // namespace

TEST_CASE("Estimates for filling tasks follow the reservations of the worker and the model", "[seeds]")
{
    // Guards against a filling task being placed by an estimate that is older than the last placement on the worker or the last refit.
    for (std::uint64_t seed = 1; seed <= fleetCount / 10; ++seed) {
        INFO("seed " << seed);
        auto state = makeRandomFleet(seed);
        checkEstimates(state);
        Orders orders;
        placeWaitingTasks(state, fleetTime, orders);
        REQUIRE_FALSE(listPlacements(orders).empty());
        checkEstimates(state);
        state.interference.add({ ImageNumber(0), 0.5, 0, { { ImageNumber(1), 1.0 } } });
        state.interference.refit();
        checkEstimates(state);
    }
}
