#include "placement/Placement.h"

#include "base/Random.h"
#include "placement/SlowdownBounds.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom::placement {

namespace {

    // Weights of the score. Spread outweighs packing: a full packing gains less than one more task of the same job costs.
    constexpr double packingWeight = 1;
    constexpr double sameVmWeight = 2;
    constexpr double sameRackWeight = 0.25;
    // One unit is a doubling of a service's latency; it weighs as much as four full packings.
    constexpr double interferenceWeight = 4;
    constexpr double evictionWeight = 2;
    // Logarithm of the slowdown from which the controller of a worker is likely to act; see slowdownBounds().
    constexpr double riskFrom = 0.15;
    // A task is admitted when it can run with at least this share.
    constexpr double shareToAdmit = 0.5;
    // Sum of the effects of quiet tasks, as a logarithm, up to which a service counts as undisturbed.
    constexpr double undisturbed = 0.1;
    // Restarts of a minute and more count fully.
    constexpr Milliseconds fullRestartCost { 60000 };
    // The schema's default weight counts as 1.
    constexpr double defaultPolicyWeight = 500;

    template <typename Number> Number freeOf(Number capacity, Number used) { return std::max(Number(), capacity - used); }

    std::optional<RefusalReason> excludesAnyTask(const WorkerView& worker, const PlacementView& view, MonotonicTime now)
    {
        if (view.outOfService.contains(worker.domain))
            return RefusalReason::DomainOutOfService;
        if (worker.leaving)
            return RefusalReason::WorkerLeaving;
        if (worker.quarantinedUntil && now < *worker.quarantinedUntil)
            return RefusalReason::WorkerQuarantined;
        if (worker.isSilent)
            return RefusalReason::WorkerSilent;
        return std::nullopt;
    }

    std::optional<RefusalReason> excludes(const WorkerView& worker, const PlacementView& view, const PlacementTask& task, MonotonicTime now)
    {
        if (const auto reason = excludesAnyTask(worker, view, now))
            return reason;
        const auto free = freeAmounts(worker);
        if (task.demand.accelerators > free.accelerators)
            return RefusalReason::NoFreeAccelerators;
        if (task.demand.memory > free.memory)
            return RefusalReason::NoFreeMemory;
        if (task.demand.cpu > free.cpu)
            return RefusalReason::NoFreeCpu;
        return std::nullopt;
    }

    template <typename Number> double share(Number part, Number whole)
    {
        return whole.value() > 0 ? static_cast<double>(part.value()) / static_cast<double>(whole.value()) : 0;
    }

    int tasksOfJob(const WorkerView& worker, const JobName& job)
    {
        const auto it = worker.tasksOfJob.find(job);
        return it == worker.tasksOfJob.end() ? 0 : it->second;
    }

    // What one decision looks up once.
    struct Scoring {
        const PlacementView& view;
        const PlacementTask& task;
        schema::PolicySpecT policy;
        // nullptr when the job has no task here.
        const std::map<Rack, int>* rackCounts;
        SlowdownBounds bounds;
        // Effect of a batch task by service.
        std::map<std::string, double> effects;
    };

    Scoring makeScoring(const PlacementView& view, const PlacementTask& task)
    {
        const auto policy = view.policy.value_or(schema::PolicySpecT());
        const auto racks = view.racksOfJob.find(task.task.job);
        return { view, task, policy, racks == view.racksOfJob.end() ? nullptr : &racks->second, slowdownBounds(policy), {} };
    }

    double weight(std::uint32_t perMille) { return perMille / defaultPolicyWeight; }

    double effectOn(Scoring& scoring, const std::string& service)
    {
        const auto [it, isNew] = scoring.effects.try_emplace(service, 0);
        if (isNew)
            it->second = logSlowdownOf(*scoring.view.interference, service, scoring.task.className);
        return it->second;
    }

    struct InterferenceCost {
        // Sum of added latency over the services, relative to their undisturbed latency.
        double addedLatency = 0;
        // Highest logarithm of the slowdown after the placement.
        double highest = 0;
    };

    InterferenceCost interferenceCost(const WorkerView& worker, Scoring& scoring)
    {
        InterferenceCost cost;
        const auto* model = scoring.view.interference;
        if (!model)
            return cost;
        if (scoring.task.kind == schema::JobKind::Standing) {
            cost.highest = logSlowdownOf(*model, scoring.task.className, worker.batchLoads);
            cost.addedLatency = std::expm1(cost.highest);
            return cost;
        }
        for (const auto& [service, before] : worker.services) {
            const double after = before + effectOn(scoring, service);
            cost.addedLatency += std::exp(after) - std::exp(before);
            cost.highest = std::max(cost.highest, after);
        }
        return cost;
    }

    double spreadCost(const WorkerView& worker, const Scoring& scoring)
    {
        if (!scoring.rackCounts)
            return 0;
        const auto it = scoring.rackCounts->find(worker.rack);
        if (it == scoring.rackCounts->end())
            return 0;
        return sameVmWeight * tasksOfJob(worker, scoring.task.task.job) + sameRackWeight * it->second;
    }

    // A task that could only run throttled would hold room that quieter tasks can use. A worker whose services are undisturbed takes
    // any task, so that none starves.
    bool isTooNoisy(const WorkerView& worker, Scoring& scoring)
    {
        if (!scoring.view.interference || scoring.task.kind == schema::JobKind::Standing)
            return false;
        return std::ranges::any_of(worker.services, [&](const auto& entry) {
            const double effect = effectOn(scoring, entry.first);
            return effect >= minEffect && entry.second > undisturbed && entry.second + shareToAdmit * effect > scoring.bounds.high;
        });
    }

    double score(const WorkerView& worker, Scoring& scoring)
    {
        const auto& policy = scoring.policy;
        const double packing = (share(worker.inUse.cpu, worker.capacity.cpu) + share(worker.inUse.memory, worker.capacity.memory)) / 2;
        const double spread = spreadCost(worker, scoring);
        const auto interference = interferenceCost(worker, scoring);
        const double risk = std::min(1.0, std::max(0.0, interference.highest - riskFrom) / riskFrom);
        const double restart = 1 + std::min(1.0, static_cast<double>(scoring.task.restartCost.count()) / fullRestartCost.count());
        return weight(policy.throughput_weight) * packingWeight * packing - spread
            - weight(policy.tail_latency_weight) * interferenceWeight * interference.addedLatency
            - weight(policy.eviction_weight) * evictionWeight * risk * restart;
    }

    // Different tasks start their search at different workers, so that a bounded search covers the whole fleet.
    std::size_t firstWorker(const PlacementView& view, const PlacementTask& task)
    {
        if (view.maxScored == 0 || view.workers.size() <= view.maxScored)
            return 0;
        return Random(std::hash<TaskId>()(task.task)).below(view.workers.size());
    }

    PlacementRefusal makeRefusal(std::map<RefusalReason, int> counts)
    {
        if (counts.empty())
            return {};
        const auto most = std::ranges::max_element(counts, {}, [](const auto& entry) { return entry.second; });
        return { most->first, std::move(counts) };
    }

} // namespace

const char* toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoWorkers:
        return "NoWorkers";
    case RefusalReason::DomainOutOfService:
        return "DomainOutOfService";
    case RefusalReason::WorkerLeaving:
        return "WorkerLeaving";
    case RefusalReason::WorkerQuarantined:
        return "WorkerQuarantined";
    case RefusalReason::WorkerSilent:
        return "WorkerSilent";
    case RefusalReason::NoFreeCpu:
        return "NoFreeCpu";
    case RefusalReason::NoFreeMemory:
        return "NoFreeMemory";
    case RefusalReason::NoFreeAccelerators:
        return "NoFreeAccelerators";
    case RefusalReason::TooMuchInterference:
        break;
    }
    return "TooMuchInterference";
}

ResourceAmounts freeAmounts(const WorkerView& worker)
{
    return { freeOf(worker.capacity.cpu, worker.inUse.cpu), freeOf(worker.capacity.memory, worker.inUse.memory),
        freeOf(worker.capacity.accelerators, worker.inUse.accelerators) };
}

bool mayRunTasks(const WorkerView& worker, const PlacementView& view, MonotonicTime now) { return !excludesAnyTask(worker, view, now); }

Expected<std::size_t, PlacementRefusal> chooseWorker(const PlacementView& view, const PlacementTask& task, MonotonicTime now)
{
    std::map<RefusalReason, int> refusals;
    auto scoring = makeScoring(view, task);
    const auto count = view.workers.size();
    const auto first = firstWorker(view, task);
    const auto most = view.maxScored > 0 ? view.maxScored : count;
    std::optional<std::size_t> best;
    double bestScore = 0;
    std::size_t scored = 0;
    for (std::size_t i = 0; i < count && scored < most; ++i) {
        const auto index = (first + i) % count;
        const auto& worker = view.workers[index];
        if (const auto reason = excludes(worker, view, task, now)) {
            ++refusals[*reason];
            continue;
        }
        if (isTooNoisy(worker, scoring)) {
            ++refusals[RefusalReason::TooMuchInterference];
            continue;
        }
        ++scored;
        const auto workerScore = score(worker, scoring);
        if (best && workerScore <= bestScore)
            continue;
        best = index;
        bestScore = workerScore;
    }
    if (!best)
        return makeUnexpected(makeRefusal(std::move(refusals)));
    return *best;
}

Expected<VmId, PlacementRefusal> choosePlacement(const PlacementView& view, const PlacementTask& task, MonotonicTime now)
{
    return chooseWorker(view, task, now).map([&](std::size_t index) { return view.workers[index].vm; });
}

Expected<ReservedChoice, PlacementRefusal> chooseWithReserve(const PlacementView& view, const PlacementTask& task,
    const ClassCorrection& correction, std::size_t unreportedOfClass, MonotonicTime now)
{
    const auto reserve = reserveUntilReported(task.demand, correction);
    auto wanted = task;
    wanted.demand = reserve.cautious;
    auto choice = chooseWorker(view, wanted, now);
    if (choice)
        return ReservedChoice { *choice, reserve.cautious };
    // A class whose cautious reserve fits nowhere would never be reported, and so never start.
    if (unreportedOfClass > 0 || reserve.least == reserve.cautious)
        return makeUnexpected(std::move(choice.error()));
    wanted.demand = reserve.least;
    return chooseWorker(view, wanted, now).map([&](std::size_t worker) { return ReservedChoice { worker, reserve.least }; });
}

void addTask(PlacementView& view, std::size_t index, const PlacementTask& task, const ResourceAmounts& amounts)
{
    auto& worker = view.workers[index];
    worker.inUse += amounts;
    ++worker.tasksOfJob[task.task.job];
    ++view.racksOfJob[task.task.job][worker.rack];
    // A probe is one task.
    if (worker.isProbeDue)
        worker.quarantinedUntil = MonotonicTime::max();
    const auto* model = view.interference;
    if (task.kind == schema::JobKind::Standing) {
        worker.services[task.className] = model ? logSlowdownOf(*model, task.className, worker.batchLoads) : 0;
        return;
    }
    ++worker.batchLoads[task.className];
    for (auto& [service, slowdown] : worker.services)
        slowdown += model ? logSlowdownOf(*model, service, task.className) : 0;
}

void addTask(PlacementView& view, const VmId& vm, const TaskId& task, const ResourceAmounts& amounts)
{
    const auto it = std::ranges::find(view.workers, vm, &WorkerView::vm);
    if (it == view.workers.end())
        return;
    it->inUse += amounts;
    ++it->tasksOfJob[task.job];
    ++view.racksOfJob[task.job][it->rack];
    if (it->isProbeDue)
        it->quarantinedUntil = MonotonicTime::max();
}

} // namespace kingcuploom::placement
