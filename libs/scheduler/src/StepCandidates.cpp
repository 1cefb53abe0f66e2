#include "StepCandidates.h"

#include "RejectReason.h"
#include "scheduler/Pacing.h"
#include "scheduler/Suspects.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace kingcuploom::scheduler {

namespace {

    // Weights of a worker's score, relative to the CPU headroom, which has weight 1.
    constexpr double paceWeight = 1.0;
    // Weight of the total slack that the serving tasks of the worker are expected to lose.
    constexpr double interferenceWeight = 0.7;
    // Serving tasks of the same image are grouped, so that each filling image finds workers without tasks that it interferes with.
    constexpr double sameImageWeight = 1.0;
    constexpr double otherImageWeight = 0.8;
    constexpr double recentFailureWeight = 2.0;
    constexpr double rackAffinityWeight = 1.5;
    constexpr double suspectWeight = 2.0;

    // Prefers workers that serve the same image, then workers that serve none.
    double computeImageAffinity(const Worker& worker, ImageNumber image)
    {
        double same = 0;
        double others = 0;
        for (const auto& [serving, count] : worker.servingImages)
            (serving == image ? same : others) += count;
        if (same + others == 0)
            return 0;
        return (sameImageWeight * same - otherImageWeight * others) / (same + others);
    }

    bool hasRunOn(const Task& task, const Worker& worker)
    {
        return std::ranges::any_of(task.runs, [&](const Run& run) { return run.worker == worker.id; });
    }

} // namespace

bool hasFailedOn(const Task& task, const Worker& worker) { return std::ranges::find(task.failedOn, worker.id) != task.failedOn.end(); }

double computeScore(
    const State& state, const Worker& worker, const Job& job, std::uint32_t stepNumber, bool hasFailedThere, MonotonicTime now)
{
    const auto& step = getStepSpec(job, stepNumber);
    auto score = cpuHeadroom(worker, step);
    if (step.fills) {
        const auto estimate = estimateFilling(state, worker, job.images[stepNumber], step.cpu_millis);
        score -= interferenceWeight * estimate.lostSlack;
        score -= paceWeight * (1 - estimate.pace);
    }
    if (step.target_ms > 0)
        score += computeImageAffinity(worker, job.images[stepNumber]);
    if (worker.suspectRuns > 0)
        score -= suspectWeight;
    if (worker.health.avoidUntil > now)
        score -= recentFailureWeight;
    if (hasFailedThere)
        score -= recentFailureWeight;
    if (!step.affinity_rack.empty() && worker.rack.value() != step.affinity_rack)
        score -= rackAffinityWeight;
    return score;
}

StepCandidates::StepCandidates(
    const State& state, OpenWorkers& workers, const Job& job, const TaskRef& task, MonotonicTime now, const Rack* rack)
    : m_state(state)
    , m_workers(workers)
    , m_job(job)
    , m_task(task)
    , m_now(now)
{
    const RoomDemand demand(getStepSpec(job, task.step));
    for (const auto& room : workers.ofService(getPolicy(state, job).service)) {
        const bool isConsidered = demand.mayFit(room) && (!rack || room.worker->rack == *rack);
        if (isConsidered && canTake(*room.worker))
            m_candidates.push_back({ room.worker, computeScore(state, *room.worker, job, task.step, false, now) });
    }
}

bool StepCandidates::canTake(const Worker& worker) const
{
    return findOpenRejectReason(m_state, worker, m_job, m_task, m_now) == RejectReason::None;
}

Worker* StepCandidates::choose(const Task& task) const
{
    const bool isFirstAttempt = task.failedOn.empty() && task.runs.empty();
    if (isFirstAttempt) {
        const auto it = std::ranges::max_element(m_candidates, {}, &Candidate::score);
        return it == m_candidates.end() ? nullptr : it->worker;
    }
    Candidate best { nullptr, -std::numeric_limits<double>::infinity() };
    for (const auto& it : m_candidates) {
        if (hasRunOn(task, *it.worker))
            continue;
        const auto score = hasFailedOn(task, *it.worker) ? computeScore(m_state, *it.worker, m_job, m_task.step, true, m_now) : it.score;
        if (score > best.score)
            best = { it.worker, score };
    }
    return best.worker;
}

Worker* StepCandidates::chooseForTrial(State& state, const Task& task) const
{
    Worker* best = nullptr;
    std::tuple<std::size_t, std::size_t, double> bestLoss;
    for (const auto& it : m_candidates) {
        if (hasRunOn(task, *it.worker) || it.worker->suspectRuns > 0)
            continue;
        // A crash is best attributed where nothing else has just started, and costs least where least is executed.
        const std::tuple loss(countRecentStarts(state, *it.worker), it.worker->runs.size(), -it.score);
        if (!best || loss < bestLoss) {
            best = it.worker;
            bestLoss = loss;
        }
    }
    return best;
}

void StepCandidates::update(Worker& worker)
{
    m_workers.refresh(worker);
    const auto it = std::ranges::find(m_candidates, &worker, &Candidate::worker);
    if (it == m_candidates.end())
        return;
    if (canTake(worker))
        it->score = computeScore(m_state, worker, m_job, m_task.step, false, m_now);
    else
        m_candidates.erase(it);
}

} // namespace kingcuploom::scheduler
