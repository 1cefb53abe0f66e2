#include "routing/FairQueue.h"

#include <algorithm>

namespace kingcuploom::routing {

namespace {

    // Above this number of teams, idle ones are evicted, so that arbitrary team names from callers cannot grow the table without bound.
    constexpr std::size_t idleEvictionThreshold = 256;

    bool isActive(const TeamQueue& team) { return !team.calls.empty(); }

    void evictIdleTeams(FairQueue& queue)
    {
        if (queue.teams.size() <= idleEvictionThreshold)
            return;
        std::erase_if(queue.teams, [&](const auto& entry) { return !isActive(entry.second) && entry.second.pass <= queue.virtualTime; });
    }

    std::vector<QueuedCall>::iterator findInsertPosition(FairQueue& queue, TeamQueue& team, const QueuedCall& call)
    {
        if (queue.order == QueueOrder::Fifo)
            return team.calls.begin();
        // Equal deadlines are served in order of arrival, so the new call is inserted before its equals, which are served from the back.
        return std::ranges::lower_bound(team.calls, call.deadline, std::greater(), &QueuedCall::deadline);
    }

} // namespace

void push(FairQueue& queue, const QueuedCall& call, double weight)
{
    evictIdleTeams(queue);
    auto& team = queue.teams[call.team];
    team.weight = std::max(1.0, weight);
    if (!isActive(team))
        team.pass = std::max(team.pass, queue.virtualTime);
    team.calls.insert(findInsertPosition(queue, team, call), call);
    ++queue.size;
}

std::optional<QueuedCall> pop(FairQueue& queue)
{
    // Teams without queued calls sort last.
    const auto rank = [](const auto& entry) { return std::pair(!isActive(entry.second), entry.second.pass); };
    const auto it = std::ranges::min_element(queue.teams, {}, rank);
    if (it == queue.teams.end() || !isActive(it->second))
        return std::nullopt;
    auto& team = it->second;
    queue.virtualTime = std::max(queue.virtualTime, team.pass);
    auto call = team.calls.back();
    team.calls.pop_back();
    --queue.size;
    return call;
}

std::optional<QueuedCall> remove(FairQueue& queue, CallId id)
{
    for (auto& [name, team] : queue.teams) {
        const auto it = std::ranges::find(team.calls, id, &QueuedCall::id);
        if (it == team.calls.end())
            continue;
        auto call = *it;
        team.calls.erase(it);
        --queue.size;
        return call;
    }
    return std::nullopt;
}

void charge(FairQueue& queue, const TeamName& name, double ms)
{
    const auto it = queue.teams.find(name);
    if (it != queue.teams.end())
        it->second.pass += ms / it->second.weight;
}

std::size_t callsAhead(const FairQueue& queue, const TeamName& name, MonotonicTime deadline)
{
    const auto it = queue.teams.find(name);
    if (it == queue.teams.end())
        return 0;
    const auto& calls = it->second.calls;
    if (queue.order == QueueOrder::Fifo)
        return calls.size();
    const auto place = std::ranges::lower_bound(calls, deadline, std::greater(), &QueuedCall::deadline);
    return std::size_t(calls.end() - place);
}

double inverseShare(const FairQueue& queue, const TeamName& name, double weight)
{
    double sum = weight;
    for (const auto& [other, team] : queue.teams) {
        if (other != name && isActive(team))
            sum += team.weight;
    }
    return sum / weight;
}

double weightedQueueLength(const FairQueue& queue, const TeamName& name)
{
    const auto it = queue.teams.find(name);
    return it == queue.teams.end() ? 0 : double(it->second.calls.size()) / it->second.weight;
}

std::optional<TeamName> findTeamWithLongestQueue(const FairQueue& queue)
{
    const auto it = std::ranges::max_element(queue.teams, {}, [&](const auto& entry) { return weightedQueueLength(queue, entry.first); });
    if (it == queue.teams.end() || !isActive(it->second))
        return std::nullopt;
    return it->first;
}

} // namespace kingcuploom::routing
