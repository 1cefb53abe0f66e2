#include "routing/Admission.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

namespace kingcuploom::routing {

namespace {

    using schema::RefusalReason;

    constexpr double defaultWeight = 100;
    constexpr Milliseconds minRetryAfter { 50 };
    constexpr Milliseconds maxRetryAfter { 10'000 };
    // A call that fails on two executors may be the cause, and can have crashed both.
    constexpr int maxFailedExecutions = 2;
    // Maximum expected queueing time as a share of the call's time from arrival to deadline. During overload, a longer queue adds latency
    // to every call without more goodput, and later arrivals with earlier deadlines push the last calls back until they are refused after
    // a long wait.
    constexpr double maxWaitShare = 0.25;
    // A relay costs a hop and relies on load figures that may be stale, so a single spare slot at the other owner is not enough.
    constexpr int minSpareSlotsForRelay = 2;

    double toMs(MonotonicTime::duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    double getWeight(const Pool& pool, const TeamName& team)
    {
        const auto it = pool.weights.find(team);
        return it == pool.weights.end() ? defaultWeight : it->second;
    }

    // Expected time between two slots becoming free. 0 before the first observation, so that no call is refused without an estimate.
    double slotIntervalMs(const Pool& pool)
    {
        // If no slot is usable now, assumes that all will be soon, when the takeover or the ejections end.
        const int usable = usableSlots(pool, ShardId());
        const int slots = usable > 0 ? usable : portionSlots(pool, ShardId());
        return pool.serviceTime.meanMs / std::max(1, slots);
    }

    // Time before the deadline that is kept free for the execution: the tail of the service times, limited to half of the time from arrival
    // to deadline, because a short deadline is the caller's choice.
    double executionHeadroomMs(const Pool& pool, const QueuedCall& call)
    {
        const double half = toMs(call.deadline - call.arrivedAt) / 2;
        return std::min(pool.serviceTime.tailMs, half);
    }

    double expectedWaitMs(const Pool& pool, const QueuedCall& call, std::size_t ahead)
    {
        const double factor = inverseShare(pool.queue, call.team, getWeight(pool, call.team));
        const double slotsNeeded = std::min(double(pool.queue.size), double(ahead) * factor) + 1;
        return slotsNeeded * slotIntervalMs(pool);
    }

    bool canMeetDeadline(const Pool& pool, const QueuedCall& call, std::size_t ahead, MonotonicTime now)
    {
        const double wait = expectedWaitMs(pool, call, ahead);
        const bool isWaitAcceptable = wait <= maxWaitShare * toMs(call.deadline - call.arrivedAt);
        return isWaitAcceptable && wait + executionHeadroomMs(pool, call) <= toMs(call.deadline - now);
    }

    Refuse refuse(const Pool& pool, CallId id, RefusalReason reason) { return { id, reason, computeRetryAfter(pool) }; }

    // Higher is better. Ranks healthy executors by their free slots. A probing executor ranks above them for idempotent calls, which can be
    // retried elsewhere, and below them for others. The executor that failed the call before ranks last.
    double computePreference(const ExecutorSlots& slots, const QueuedCall& call)
    {
        if (slots.limits.executor == call.avoidedExecutor)
            return 0.1;
        if (slots.health.state == HealthState::Probing)
            return call.isIdempotent ? 1000 : 0.5;
        return freeSlots(slots);
    }

    ExecutorSlots* pickExecutor(Pool& pool, const QueuedCall& call)
    {
        ExecutorSlots* best = nullptr;
        for (auto& [id, slots] : pool.executors) {
            if (freeSlots(slots) <= 0)
                continue;
            if (!best || computePreference(slots, call) > computePreference(*best, call))
                best = &slots;
        }
        return best;
    }

    void dispatchCall(Pool& pool, const QueuedCall& call, ExecutorSlots& slots, MonotonicTime now, std::vector<Action>& actions)
    {
        ++slots.busy;
        pool.running[call.id] = { call, slots.limits.executor, now };
        actions.emplace_back(Dispatch { call.id, slots.limits.executor });
    }

    // Refuses queued calls that can no longer be answered in time. Requires only half of the execution headroom, so that a call that has
    // already waited is not refused for a small error of the estimate.
    void refuseUnmeetable(Pool& pool, MonotonicTime now, std::vector<Action>& actions)
    {
        for (auto& [name, team] : pool.queue.teams) {
            while (!team.calls.empty()) {
                const auto& next = team.calls.back();
                if (toMs(next.deadline - now) > executionHeadroomMs(pool, next) / 2)
                    break;
                actions.emplace_back(refuse(pool, next.id, RefusalReason::DeadlineTooShort));
                team.calls.pop_back();
                --pool.queue.size;
            }
        }
    }

    void dispatchQueued(Pool& pool, MonotonicTime now, std::vector<Action>& actions)
    {
        refuseUnmeetable(pool, now, actions);
        while (pool.queue.size > 0 && freeSlots(pool, ShardId()) > 0) {
            const auto call = pop(pool.queue);
            dispatchCall(pool, *call, *pickExecutor(pool, *call), now, actions);
        }
    }

    // Removes the call that its team would serve last.
    QueuedCall removeLast(FairQueue& queue, const TeamName& name)
    {
        auto& calls = queue.teams[name].calls;
        auto call = calls.front();
        calls.erase(calls.begin());
        --queue.size;
        return call;
    }

    // Refuses calls that the new one has pushed back beyond their deadline at once, instead of when the deadline is near.
    void refuseDisplaced(Pool& pool, const TeamName& name, MonotonicTime now, std::vector<Action>& actions)
    {
        const auto& calls = pool.queue.teams[name].calls;
        while (calls.size() > 1 && !canMeetDeadline(pool, calls.front(), calls.size() - 1, now)) {
            const auto last = removeLast(pool.queue, name);
            actions.emplace_back(refuse(pool, last.id, RefusalReason::DeadlineTooShort));
        }
    }

    // If the queue is full, refuses the last call of the team with the longest queue in proportion to its weight, or the new call if its
    // own team would be the longest.
    std::optional<Refuse> makeRoom(Pool& pool, const QueuedCall& call)
    {
        if (pool.queue.size < pool.limits.queueLimit)
            return std::nullopt;
        const auto largest = findTeamWithLongestQueue(pool.queue);
        const double own = weightedQueueLength(pool.queue, call.team) + 1 / getWeight(pool, call.team);
        if (!largest || *largest == call.team || weightedQueueLength(pool.queue, *largest) <= own) {
            const bool isOnlyTeam
                = largest && weightedQueueLength(pool.queue, *largest) * pool.queue.teams[*largest].weight >= double(pool.queue.size);
            return refuse(pool, call.id, isOnlyTeam ? RefusalReason::QueueFull : RefusalReason::TeamOverShare);
        }
        return refuse(pool, removeLast(pool.queue, *largest).id, RefusalReason::TeamOverShare);
    }

    void enqueue(Pool& pool, const QueuedCall& call, MonotonicTime now, std::vector<Action>& actions)
    {
        if (!canMeetDeadline(pool, call, callsAhead(pool.queue, call.team, call.deadline), now)) {
            actions.emplace_back(refuse(pool, call.id, RefusalReason::DeadlineTooShort));
            return;
        }
        if (const auto refused = makeRoom(pool, call)) {
            actions.emplace_back(*refused);
            if (refused->id == call.id)
                return;
        }
        push(pool.queue, call, getWeight(pool, call.team));
        refuseDisplaced(pool, call.team, now, actions);
    }

    bool hasActiveTarget(const Pool& pool)
    {
        return std::ranges::any_of(
            pool.executors, [](const auto& entry) { return !entry.second.limits.isLeaving && entry.second.limits.allowed > 0; });
    }

    void apply(Pool& pool, const Arrival& event, MonotonicTime now, std::vector<Action>& actions)
    {
        const bool mayRelay = event.relays < pool.limits.maxRelays && event.remoteSpareSlots >= minSpareSlotsForRelay;
        if (event.call.deadline <= now) {
            actions.emplace_back(refuse(pool, event.call.id, RefusalReason::DeadlineTooShort));
            return;
        }
        addTokens(pool.retryBudget);
        auto* slots = pool.queue.size == 0 ? pickExecutor(pool, event.call) : nullptr;
        if (slots)
            dispatchCall(pool, event.call, *slots, now, actions);
        else if (mayRelay)
            actions.emplace_back(Relay { event.call.id });
        else if (!hasActiveTarget(pool))
            actions.emplace_back(refuse(pool, event.call.id, RefusalReason::NoCapacity));
        else
            enqueue(pool, event.call, now, actions);
    }

    // Median of the mean log service times over the executors; 0 without any observation.
    double computeMedianLogMs(const Pool& pool)
    {
        std::vector<double> means;
        for (const auto& [id, slots] : pool.executors) {
            if (slots.health.successes > 0)
                means.push_back(slots.health.meanLogMs);
        }
        if (means.empty())
            return 0;
        const auto middle = means.begin() + std::ptrdiff_t(means.size() / 2);
        std::ranges::nth_element(means, middle);
        return *middle;
    }

    int ejectedCount(const Pool& pool)
    {
        return int(
            std::ranges::count_if(pool.executors, [](const auto& entry) { return entry.second.health.state != HealthState::Healthy; }));
    }

    void ejectIfUnhealthy(Pool& pool, ExecutorSlots& slots, MonotonicTime now, std::vector<Action>& actions)
    {
        advanceState(slots.health, now);
        const bool failing = isFailing(slots.health);
        const bool slow = !failing && isSlow(slots.health, computeMedianLogMs(pool));
        if (slots.health.state == HealthState::Ejected || (!failing && !slow))
            return;
        const bool isAlreadyCounted = slots.health.state == HealthState::Probing;
        const int cap = ejectionCap(int(pool.executors.size()), pool.limits.maxEjectedPerMille);
        if (!isAlreadyCounted && ejectedCount(pool) >= cap)
            return;
        eject(slots.health, now);
        actions.emplace_back(Ejected { slots.limits.executor, slow });
    }

    bool tryRetry(Pool& pool, const RunningCall& ended, CallResult result, MonotonicTime now)
    {
        const bool isSafe = result == CallResult::NotSent || (result == CallResult::Failed && ended.call.isIdempotent);
        const int failedExecutions = ended.call.failedExecutions + (result == CallResult::Failed ? 1 : 0);
        if (!isSafe || failedExecutions >= maxFailedExecutions || ended.call.deadline <= now || !hasActiveTarget(pool))
            return false;
        if (toMs(ended.call.deadline - now) <= pool.serviceTime.meanMs || !tryConsumeRetry(pool.retryBudget))
            return false;
        auto retry = ended.call;
        retry.avoidedExecutor = ended.executor;
        retry.failedExecutions = failedExecutions;
        push(pool.queue, retry, getWeight(pool, retry.team));
        return true;
    }

    void releaseSlot(Pool& pool, const RunningCall& ended, CallResult result, MonotonicTime now, std::vector<Action>& actions)
    {
        const double ms = result == CallResult::Recalled ? 0 : toMs(now - ended.startedAt);
        charge(pool.queue, ended.call.team, ms);
        if (result == CallResult::Succeeded)
            observe(pool.serviceTime, ms);
        const auto it = pool.executors.find(ended.executor);
        if (it == pool.executors.end())
            return;
        --it->second.busy;
        if (result == CallResult::Inconclusive || result == CallResult::Recalled || ended.isOverdue)
            return;
        observe(it->second.health, result == CallResult::Succeeded, ms);
        ejectIfUnhealthy(pool, it->second, now, actions);
    }

    void apply(Pool& pool, const Completion& event, MonotonicTime now, std::vector<Action>& actions)
    {
        const auto it = pool.running.find(event.id);
        if (it == pool.running.end())
            return;
        const auto ended = it->second;
        pool.running.erase(it);
        releaseSlot(pool, ended, event.result, now, actions);
        if (event.isCallerWaiting && event.result == CallResult::Recalled)
            push(pool.queue, ended.call, getWeight(pool, ended.call.team));
        else if (!event.isCallerWaiting || !tryRetry(pool, ended, event.result, now))
            actions.emplace_back(Deliver { event.id });
        dispatchQueued(pool, now, actions);
    }

    void apply(Pool& pool, const Overdue& event, MonotonicTime now, std::vector<Action>& actions)
    {
        const auto it = pool.running.find(event.id);
        if (it == pool.running.end() || std::exchange(it->second.isOverdue, true))
            return;
        const auto slots = pool.executors.find(it->second.executor);
        if (slots == pool.executors.end())
            return;
        observe(slots->second.health, false, toMs(now - it->second.startedAt));
        ejectIfUnhealthy(pool, slots->second, now, actions);
    }

    void apply(Pool& pool, const Abandonment& event, MonotonicTime, std::vector<Action>&) { remove(pool.queue, event.id); }

    // Keeps an unlisted executor until its last request has ended. Otherwise it would return with a busy count of 0, and the owner would
    // exceed its limit.
    void removeUnlisted(Pool& pool, const std::vector<TargetLimits>& targets)
    {
        std::erase_if(pool.executors, [&](const auto& entry) {
            const bool isListed = std::ranges::find(targets, entry.first, &TargetLimits::executor) != targets.end();
            return !isListed && entry.second.busy == 0;
        });
        for (auto& [id, slots] : pool.executors) {
            if (std::ranges::find(targets, id, &TargetLimits::executor) == targets.end())
                slots.limits.isLeaving = true;
        }
    }

    // A pool without active targets relays its queued calls, or refuses them if no other owner has spare slots.
    void drainQueue(Pool& pool, int remoteSpareSlots, std::vector<Action>& actions)
    {
        while (const auto call = pop(pool.queue)) {
            if (remoteSpareSlots > 0)
                actions.emplace_back(Relay { call->id });
            else
                actions.emplace_back(refuse(pool, call->id, RefusalReason::NoCapacity));
        }
    }

    void apply(Pool& pool, const TargetsChange& event, MonotonicTime now, std::vector<Action>& actions)
    {
        pool.weights = event.weights;
        for (const auto& target : event.targets)
            updateLimits(pool.executors[target.executor], target);
        removeUnlisted(pool, event.targets);
        if (hasActiveTarget(pool))
            dispatchQueued(pool, now, actions);
        else
            drainQueue(pool, event.remoteSpareSlots, actions);
    }

    void apply(Pool& pool, const StatusReport& event, MonotonicTime now, std::vector<Action>& actions)
    {
        const auto it = pool.executors.find(event.executor);
        if (it == pool.executors.end())
            return;
        observeStatus(it->second, event.active);
        dispatchQueued(pool, now, actions);
    }

    void apply(Pool& pool, const Tick&, MonotonicTime now, std::vector<Action>& actions)
    {
        for (auto& [id, slots] : pool.executors) {
            advanceState(slots.health, now);
            expirePredecessor(slots, now);
        }
        dispatchQueued(pool, now, actions);
    }

    template <typename Count> int sumSlots(const Pool& pool, const ShardId& shard, Count count)
    {
        return std::accumulate(pool.executors.begin(), pool.executors.end(), 0, [&](int sum, const auto& entry) {
            const bool isSelected = shard.empty() || entry.second.limits.shard == shard;
            return isSelected ? sum + count(entry.second) : sum;
        });
    }

} // namespace

std::vector<Action> decide(Pool& pool, const Event& event, MonotonicTime now)
{
    std::vector<Action> actions;
    std::visit([&](const auto& it) { apply(pool, it, now, actions); }, event);
    return actions;
}

int freeSlots(const Pool& pool, const ShardId& shard)
{
    return sumSlots(pool, shard, [](const ExecutorSlots& slots) { return freeSlots(slots); });
}

int usableSlots(const Pool& pool, const ShardId& shard)
{
    return sumSlots(pool, shard, [](const ExecutorSlots& slots) { return usableSlots(slots); });
}

int portionSlots(const Pool& pool, const ShardId& shard)
{
    return sumSlots(pool, shard, [](const ExecutorSlots& slots) { return slots.limits.isLeaving ? 0 : slots.limits.allowed; });
}

schema::LoadFigureT computeLoadFigure(const Pool& pool, const ShardId& shard)
{
    const int all = std::max(1, portionSlots(pool, ShardId()));
    schema::LoadFigureT figure;
    figure.shard = shard.value();
    figure.free_slots = freeSlots(pool, shard);
    figure.total_slots = portionSlots(pool, shard);
    figure.queued = std::uint32_t(pool.queue.size * std::size_t(figure.total_slots) / std::size_t(all));
    return figure;
}

Milliseconds computeRetryAfter(const Pool& pool)
{
    const Milliseconds drain { std::int64_t(double(pool.queue.size + 1) * slotIntervalMs(pool)) };
    return std::clamp(drain, minRetryAfter, maxRetryAfter);
}

} // namespace kingcuploom::routing
