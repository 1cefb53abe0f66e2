#include "WorkerModel.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom::testing {

namespace {

    constexpr MonotonicTime never = MonotonicTime::max();

    double millisecondsBetween(MonotonicTime from, MonotonicTime to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

    ResourceAmounts scale(const ResourceAmounts& amounts, unsigned perMille)
    {
        return { CpuMillis(amounts.cpu.value() * perMille / 1000), MemoryMb(amounts.memory.value() * perMille / 1000),
            amounts.accelerators };
    }

} // namespace

const char* toString(RunState state)
{
    switch (state) {
    case RunState::Running:
        return "running";
    case RunState::Finished:
        return "finished";
    case RunState::Failed:
        return "failed";
    case RunState::Stopped:
        return "stopped";
    case RunState::Lapsed:
        break;
    }
    return "lapsed";
}

const char* toString(WorkerRefusal refusal)
{
    switch (refusal) {
    case WorkerRefusal::StaleEpoch:
        return "stale_epoch";
    case WorkerRefusal::StaleAttempt:
        return "stale_attempt";
    case WorkerRefusal::Expired:
        break;
    }
    return "expired";
}

WorkerModel::WorkerModel(const Clock& clock, const ResourceAmounts& capacity, bool compareEpochs)
    : m_clock(clock)
    , m_compareEpochs(compareEpochs)
{
    m_record.capacity = capacity;
}

WallTime WorkerModel::toWallTime(MonotonicTime time) const
{
    return m_clock.wallNow() - std::chrono::duration_cast<WallTime::duration>(m_clock.now() - time);
}

std::uint64_t WorkerModel::computeProgress(const Run& run, MonotonicTime now)
{
    const double progress = run.progressMs + millisecondsBetween(run.progressUpdatedAt, now) * run.speed;
    return static_cast<std::uint64_t>(run.workMs > 0 ? std::min(progress, run.workMs) : progress);
}

std::pair<MonotonicTime, RunState> WorkerModel::nextEnd(const Run& run)
{
    if (run.isFailing)
        return { run.progressUpdatedAt, RunState::Failed };
    if (run.workMs <= 0 || run.speed <= 0)
        return { run.leaseEnd, RunState::Lapsed };
    const std::chrono::duration<double, std::milli> left((run.workMs - run.progressMs) / run.speed);
    const auto finish = run.progressUpdatedAt + std::chrono::ceil<std::chrono::nanoseconds>(left);
    return finish <= run.leaseEnd ? std::pair(finish, RunState::Finished) : std::pair(run.leaseEnd, RunState::Lapsed);
}

void WorkerModel::end(const RunKey& key, Run& run, RunState state, MonotonicTime at)
{
    run.progressMs = static_cast<double>(computeProgress(run, at));
    run.progressUpdatedAt = at;
    run.state = state;
    m_record.ends.push_back({ key, state, static_cast<std::uint64_t>(run.progressMs), toWallTime(at) });
}

// Processes ends at the time they were due, so that a later call, such as a late lease renewal, cannot revive an ended task.
void WorkerModel::advance()
{
    const auto now = m_clock.now();
    while (true) {
        auto due = m_runs.end();
        std::pair<MonotonicTime, RunState> dueEnd { never, RunState::Finished };
        for (auto it = m_runs.begin(); it != m_runs.end(); ++it) {
            if (it->second.state != RunState::Running)
                continue;
            const auto candidate = nextEnd(it->second);
            if (candidate.first > now || candidate.first >= dueEnd.first)
                continue;
            due = it;
            dueEnd = candidate;
        }
        if (due == m_runs.end())
            return;
        end(due->first, due->second, dueEnd.second, dueEnd.first);
    }
}

bool WorkerModel::acceptEpoch(const ShardId& shard, Epoch epoch)
{
    auto& highest = m_epochs[shard];
    if (m_compareEpochs && epoch < highest) {
        ++m_record.refusals;
        return false;
    }
    highest = std::max(highest, epoch);
    return true;
}

void WorkerModel::updatePeak(const RunKey& started)
{
    ResourceAmounts sum;
    for (const auto& [key, run] : m_runs) {
        if (run.state != RunState::Running)
            continue;
        sum += run.demand;
        if (key.task == started.task && key != started)
            m_record.ranTwiceAtOnce = true;
    }
    m_record.peak = largerOf(m_record.peak, sum);
}

Expected<void, WorkerRefusal> WorkerModel::start(const RunOrder& order)
{
    const std::scoped_lock lock(m_mutex);
    advance();
    if (!acceptEpoch(order.shard, order.epoch))
        return makeUnexpected(WorkerRefusal::StaleEpoch);
    if (m_runs.contains(order.key))
        return {};
    auto& highest = m_attempts[order.key.task];
    const bool isStale = order.key.attempt <= highest;
    if (isStale || order.validFor <= Milliseconds(0)) {
        ++m_record.refusals;
        return makeUnexpected(isStale ? WorkerRefusal::StaleAttempt : WorkerRefusal::Expired);
    }
    highest = order.key.attempt;
    const auto now = m_clock.now();
    Run run;
    run.shard = order.shard;
    run.demand = order.demand;
    run.className = order.className;
    run.workMs = order.work.count() > 0 ? static_cast<double>((order.work + m_behaviour.extra).count()) : 0;
    run.progressMs = static_cast<double>(order.checkpoint);
    run.isFailing = m_behaviour.failAll || (!order.className.empty() && order.className == m_behaviour.failingClass);
    run.startedAt = now;
    run.progressUpdatedAt = now;
    run.leaseEnd = now + order.lease;
    m_runs[order.key] = run;
    m_record.starts.push_back({ order.key, order.epoch, order.shard, m_clock.wallNow() });
    updatePeak(order.key);
    return {};
}

double WorkerModel::computeSlowdown() const
{
    double slowdown = 1;
    for (const auto& [key, run] : m_runs) {
        if (run.state != RunState::Running)
            continue;
        if (const auto it = m_behaviour.slowdowns.find(run.className); it != m_behaviour.slowdowns.end())
            slowdown *= std::pow(it->second, run.speed);
        if (const auto it = m_behaviour.fixedSlowdowns.find(run.className); it != m_behaviour.fixedSlowdowns.end())
            slowdown *= it->second;
    }
    return slowdown;
}

// Returns the newest measurement that is at least as old as the lag. Before one exists, returns the oldest slowdown, dated back by the lag.
WorkerModel::Measurement WorkerModel::recordMeasurement(MonotonicTime now)
{
    m_measurements.push_back({ now, computeSlowdown() });
    const auto isNewerThanLag = [&](const Measurement& it) { return it.at + m_behaviour.lag > now; };
    const auto firstNewer = std::ranges::find_if(m_measurements, isNewerThanLag);
    if (firstNewer == m_measurements.begin())
        return { now - m_behaviour.lag, m_measurements.front().slowdown };
    m_measurements.erase(m_measurements.begin(), std::prev(firstNewer));
    return m_measurements.front();
}

Expected<SyncReport, WorkerRefusal> WorkerModel::sync(const SyncOrder& order)
{
    const std::scoped_lock lock(m_mutex);
    advance();
    if (!acceptEpoch(order.shard, order.epoch))
        return makeUnexpected(WorkerRefusal::StaleEpoch);
    ++m_record.syncs;
    const auto now = m_clock.now();
    for (const auto& key : order.renew) {
        if (const auto it = m_runs.find(key); it != m_runs.end())
            it->second.leaseEnd = now + order.lease;
    }
    for (const auto& key : order.acknowledge) {
        const auto it = m_runs.find(key);
        if (it != m_runs.end() && it->second.state != RunState::Running)
            m_runs.erase(it);
    }
    const auto measured = recordMeasurement(now);
    SyncReport report { m_epochs[order.shard], {}, {}, std::chrono::duration_cast<Milliseconds>(now - measured.at) };
    for (const auto& [key, run] : m_runs) {
        if (run.shard != order.shard)
            continue;
        const bool isRunning = run.state == RunState::Running;
        report.runs.push_back({ key, run.state, isRunning ? computeProgress(run, now) : static_cast<std::uint64_t>(run.progressMs) });
        if (isRunning && now - run.startedAt >= m_behaviour.lag)
            report.usage.push_back({ key.task, scale(run.demand, m_behaviour.usePerMille), run.workMs > 0 ? 1 : measured.slowdown });
    }
    return report;
}

Expected<std::uint64_t, WorkerRefusal> WorkerModel::stop(const ShardId& shard, Epoch epoch, const RunKey& key)
{
    const std::scoped_lock lock(m_mutex);
    advance();
    if (!acceptEpoch(shard, epoch))
        return makeUnexpected(WorkerRefusal::StaleEpoch);
    auto& highest = m_attempts[key.task];
    highest = std::max(highest, key.attempt);
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return 0;
    if (it->second.state == RunState::Running)
        end(key, it->second, RunState::Stopped, m_clock.now());
    return static_cast<std::uint64_t>(it->second.progressMs);
}

Expected<std::uint64_t, WorkerRefusal> WorkerModel::checkpoint(const ShardId& shard, Epoch epoch, const RunKey& key)
{
    const std::scoped_lock lock(m_mutex);
    advance();
    if (!acceptEpoch(shard, epoch))
        return makeUnexpected(WorkerRefusal::StaleEpoch);
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return makeUnexpected(WorkerRefusal::StaleAttempt);
    const bool isRunning = it->second.state == RunState::Running;
    return isRunning ? computeProgress(it->second, m_clock.now()) : static_cast<std::uint64_t>(it->second.progressMs);
}

Expected<void, WorkerRefusal> WorkerModel::throttle(const ShardId& shard, Epoch epoch, const RunKey& key, unsigned sharePerMille)
{
    const std::scoped_lock lock(m_mutex);
    advance();
    if (!acceptEpoch(shard, epoch))
        return makeUnexpected(WorkerRefusal::StaleEpoch);
    const auto it = m_runs.find(key);
    if (it == m_runs.end() || it->second.state != RunState::Running)
        return makeUnexpected(WorkerRefusal::StaleAttempt);
    auto& run = it->second;
    const auto now = m_clock.now();
    run.progressMs += millisecondsBetween(run.progressUpdatedAt, now) * run.speed;
    run.progressUpdatedAt = now;
    ++m_record.throttles;
    run.speed = std::min(sharePerMille, 1000U) / 1000.0;
    return {};
}

void WorkerModel::restart()
{
    const std::scoped_lock lock(m_mutex);
    advance();
    for (auto& [key, run] : m_runs) {
        if (run.state == RunState::Running)
            end(key, run, RunState::Lapsed, m_clock.now());
    }
    m_runs.clear();
    m_epochs.clear();
    m_attempts.clear();
}

void WorkerModel::setBehaviour(const Behaviour& behaviour)
{
    const std::scoped_lock lock(m_mutex);
    advance();
    m_behaviour = behaviour;
    const auto now = m_clock.now();
    for (auto& [key, run] : m_runs) {
        if (run.state != RunState::Running || !behaviour.failAll)
            continue;
        run.progressMs += millisecondsBetween(run.progressUpdatedAt, now) * run.speed;
        run.progressUpdatedAt = now;
        run.isFailing = true;
    }
}

Behaviour WorkerModel::behaviour() const
{
    const std::scoped_lock lock(m_mutex);
    return m_behaviour;
}

void WorkerModel::forgetPeak()
{
    const std::scoped_lock lock(m_mutex);
    m_record.peak = {};
}

WorkerRecord WorkerModel::record()
{
    const std::scoped_lock lock(m_mutex);
    advance();
    m_record.slowdown = computeSlowdown();
    return m_record;
}

} // namespace kingcuploom::testing
