#include "ReleaseForecast.h"

#include "RejectReason.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    Resources multiply(Resources demand, unsigned tasks)
    {
        return { demand.cpuMillis * tasks, demand.memoryMb * tasks, demand.accelerators * tasks };
    }

} // namespace

ReleaseForecast::ReleaseForecast(State& state, MonotonicTime now)
    : m_state(state)
    , m_now(now)
{
}

unsigned ReleaseForecast::countFitting(const Worker& worker, const Resources& demand, unsigned limit)
{
    const auto& room = releasesOf(worker).back().room;
    unsigned count = 0;
    while (count < limit && multiply(demand, count + 1).fitsInto(room))
        ++count;
    return count;
}

std::optional<ExpectedRoom> ReleaseForecast::findRoom(const Worker& worker, const Resources& demand, unsigned tasks)
{
    const auto needed = multiply(demand, tasks);
    const auto& releases = releasesOf(worker);
    const auto it = std::ranges::find_if(releases, [&](const Release& release) { return needed.fitsInto(release.room); });
    if (it == releases.end())
        return std::nullopt;
    return ExpectedRoom { it->at, static_cast<unsigned>(it - releases.begin()) };
}

const std::vector<ReleaseForecast::Release>& ReleaseForecast::releasesOf(const Worker& worker)
{
    const auto [it, isNew] = m_releases.try_emplace(worker.id);
    auto& releases = it->second;
    if (!isNew)
        return releases;
    for (const auto& ref : worker.runs) {
        const auto [job, task, run] = findRunEntry(m_state, ref);
        if (!run || getStepSpec(*job, ref.task.step).long_running)
            continue;
        const auto& spec = getStepSpec(*job, ref.task.step);
        releases.push_back({ expectedEnd(*run, spec), computeDemand(spec) });
    }
    auto room = worker.capacity;
    room -= worker.reserved;
    releases.push_back({ m_now, {} });
    std::ranges::sort(releases, {}, &Release::at);
    for (auto& release : releases) {
        room += release.room;
        release.room = room;
    }
    return releases;
}

MonotonicTime ReleaseForecast::expectedEnd(const Run& run, const schema::StepSpecT& spec) const
{
    const auto begunAt = run.startConfirmedAt.value_or(m_now);
    const auto end = begunAt + Milliseconds(spec.estimate_ms);
    // A run that has taken longer than declared is expected to take half as long again.
    return end > m_now ? end : m_now + (m_now - begunAt) / 2;
}

} // namespace kingcuploom::scheduler
