#include "placement/FairShare.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <tuple>

namespace kingcuploom::placement {

namespace {

    constexpr double defaultWeight = 100;

    template <typename Number> double share(Number part, Number whole)
    {
        return whole.value() > 0 ? static_cast<double>(part.value()) / static_cast<double>(whole.value()) : 0;
    }

    double weightOf(const TeamShare& team) { return std::max(1U, team.spec.weight) / defaultWeight; }

    double dominantShare(const TeamShare& team, const ResourceAmounts& total)
    {
        return std::max({ share(team.inUse.cpu, total.cpu), share(team.inUse.memory, total.memory),
            share(team.inUse.accelerators, total.accelerators) });
    }

    std::optional<QuotaRefusal> exceeded(QuotaKind kind, std::int64_t limit, std::int64_t wouldUse)
    {
        if (limit <= 0 || wouldUse <= limit)
            return std::nullopt;
        return QuotaRefusal { kind, limit, wouldUse };
    }

    // Mean over the teams with batch tasks, so that at least one of them is at or over it. Teams that only run standing tasks would
    // raise the mean above all others.
    double meanWeightedShare(std::span<const RunningTask> running, const TeamShares& teams, const ResourceAmounts& total)
    {
        std::set<TeamName> names;
        for (const auto& task : running) {
            if (task.kind == schema::JobKind::Batch)
                names.insert(task.team);
        }
        double shares = 0;
        double weights = 0;
        for (const auto& name : names) {
            const auto team = teams.find(name);
            shares += team == teams.end() ? 0 : dominantShare(team->second, total);
            weights += team == teams.end() ? 1 : weightOf(team->second);
        }
        return weights > 0 ? shares / weights : 0;
    }

    struct Candidate {
        const RunningTask* task;
        double teamShare;
    };

    struct WorkerChoice {
        Preemption preemption;
        double lowestTeamShare = 0;
        Milliseconds workAtRisk {};
    };

    bool isBetter(const WorkerChoice& a, const WorkerChoice& b)
    {
        return std::tuple(-a.lowestTeamShare, a.workAtRisk, a.preemption.victims.size())
            < std::tuple(-b.lowestTeamShare, b.workAtRisk, b.preemption.victims.size());
    }

    std::optional<WorkerChoice> victimsOn(const WorkerView& worker, const ResourceAmounts& demand, std::vector<Candidate> candidates)
    {
        std::ranges::sort(candidates, {},
            [](const Candidate& candidate) { return std::tuple(-candidate.teamShare, candidate.task->workAtRisk, candidate.task->task); });
        WorkerChoice choice { { worker.vm, {} }, 0, {} };
        // Without clamping: a worker over its capacity frees nothing before the excess is gone.
        auto use = worker.inUse;
        use += demand;
        for (const auto& candidate : candidates) {
            if (fits(use, worker.capacity))
                break;
            use -= candidate.task->use;
            choice.preemption.victims.push_back(candidate.task->task);
            choice.lowestTeamShare = candidate.teamShare;
            choice.workAtRisk += candidate.task->workAtRisk;
        }
        if (!fits(use, worker.capacity))
            return std::nullopt;
        return choice;
    }

    std::map<VmId, std::vector<Candidate>> candidatesByWorker(std::span<const RunningTask> running, const TeamName& ownTeam,
        const TeamShares& teams, const ResourceAmounts& total, bool isAnyTeam)
    {
        const double mean = isAnyTeam ? 0 : meanWeightedShare(running, teams, total);
        std::map<VmId, std::vector<Candidate>> candidates;
        for (const auto& task : running) {
            if (task.kind != schema::JobKind::Batch)
                continue;
            const auto team = teams.find(task.team);
            const double teamShare = team == teams.end() ? 0 : weightedDominantShare(team->second, total);
            // A team may always preempt its own batch tasks.
            if (teamShare >= mean || task.team == ownTeam)
                candidates[task.worker].push_back({ &task, teamShare });
        }
        return candidates;
    }

    // Whether the task uses a resource that is over the capacity.
    bool relieves(const ResourceAmounts& task, const ResourceAmounts& use, const ResourceAmounts& capacity)
    {
        return (use.cpu > capacity.cpu && task.cpu > CpuMillis()) || (use.memory > capacity.memory && task.memory > MemoryMb())
            || (use.accelerators > capacity.accelerators && task.accelerators > Accelerators());
    }

    std::optional<WorkerChoice> bestChoice(
        const PlacementView& view, const PlacementTask& task, const std::map<VmId, std::vector<Candidate>>& candidates, MonotonicTime now)
    {
        std::optional<WorkerChoice> best;
        for (const auto& worker : view.workers) {
            const auto it = candidates.find(worker.vm);
            if (it == candidates.end() || !mayRunTasks(worker, view, now))
                continue;
            const auto choice = victimsOn(worker, task.demand, it->second);
            if (choice && (!best || isBetter(*choice, *best)))
                best = choice;
        }
        return best;
    }

} // namespace

const char* toString(QuotaKind kind)
{
    switch (kind) {
    case QuotaKind::Cpu:
        return "QuotaCpu";
    case QuotaKind::Memory:
        return "QuotaMemory";
    case QuotaKind::Accelerators:
        break;
    }
    return "QuotaAccelerators";
}

double weightedDominantShare(const TeamShare& team, const ResourceAmounts& total) { return dominantShare(team, total) / weightOf(team); }

Expected<void, QuotaRefusal> checkQuota(const TeamShares& teams, const TeamName& name, const ResourceAmounts& demand)
{
    const auto it = teams.find(name);
    if (it == teams.end())
        return {};
    const auto& [spec, inUse] = it->second;
    auto after = inUse;
    after += demand;
    if (const auto refusal = exceeded(QuotaKind::Cpu, spec.cpu_millis, after.cpu.value()))
        return makeUnexpected(*refusal);
    if (const auto refusal = exceeded(QuotaKind::Memory, spec.memory_mb, after.memory.value()))
        return makeUnexpected(*refusal);
    if (const auto refusal = exceeded(QuotaKind::Accelerators, spec.accelerators, after.accelerators.value()))
        return makeUnexpected(*refusal);
    return {};
}

std::vector<std::size_t> orderByFairShare(const TeamShares& teams, std::span<const PlacementTask> tasks, const ResourceAmounts& total)
{
    std::map<std::pair<bool, TeamName>, std::deque<std::size_t>> waiting;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        waiting[{ tasks[i].kind == schema::JobKind::Batch, tasks[i].team }].push_back(i);
    TeamShares shares = teams;
    // Standing before batch, then the lowest share, then the name for a stable order.
    using Turn = std::tuple<bool, double, TeamName>;
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    for (const auto& [key, queue] : waiting)
        turns.emplace(key.first, weightedDominantShare(shares[key.second], total), key.second);
    std::vector<std::size_t> order;
    order.reserve(tasks.size());
    while (!turns.empty()) {
        const auto [isBatch, oldShare, name] = turns.top();
        turns.pop();
        auto& team = shares[name];
        const auto currentShare = weightedDominantShare(team, total);
        // The team's standing tasks have raised its share since the turn was queued.
        if (currentShare > oldShare) {
            turns.emplace(isBatch, currentShare, name);
            continue;
        }
        auto& queue = waiting[{ isBatch, name }];
        order.push_back(queue.front());
        team.inUse += tasks[queue.front()].demand;
        queue.pop_front();
        if (!queue.empty())
            turns.emplace(isBatch, weightedDominantShare(team, total), name);
    }
    return order;
}

Expected<Preemption, PreemptionRefusal> choosePreemption(const PlacementView& view, const PlacementTask& task,
    std::span<const RunningTask> running, const TeamShares& teams, const ResourceAmounts& total, MonotonicTime now)
{
    if (task.kind != schema::JobKind::Standing)
        return makeUnexpected(PreemptionRefusal::NotUrgent);
    // Teams under their share give way only when no other place can be made: urgent work must start within 2 s.
    for (const bool isAnyTeam : { false, true }) {
        const auto candidates = candidatesByWorker(running, task.team, teams, total, isAnyTeam);
        if (auto choice = bestChoice(view, task, candidates, now))
            return std::move(choice->preemption);
    }
    return makeUnexpected(PreemptionRefusal::NoVictims);
}

// Tasks that use nothing of what is short stay.
std::vector<TaskId> chooseOvercommitVictims(const WorkerView& worker, std::span<const RunningTask> running)
{
    std::vector<const RunningTask*> candidates;
    for (const auto& task : running) {
        if (task.kind == schema::JobKind::Batch && task.worker == worker.vm)
            candidates.push_back(&task);
    }
    std::ranges::sort(candidates, {}, [](const RunningTask* task) { return std::tie(task->workAtRisk, task->task); });
    std::vector<TaskId> victims;
    auto use = worker.inUse;
    for (const auto* task : candidates) {
        if (fits(use, worker.capacity))
            break;
        if (!relieves(task->use, use, worker.capacity))
            continue;
        use -= task->use;
        victims.push_back(task->task);
    }
    return victims;
}

} // namespace kingcuploom::placement
