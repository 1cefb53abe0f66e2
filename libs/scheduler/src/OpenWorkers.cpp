#include "OpenWorkers.h"

#include "RejectReason.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    WorkerRoom makeRoom(Worker& worker)
    {
        auto free = worker.capacity;
        free -= worker.reserved;
        return { &worker, free, maxFillingCpu(worker) };
    }

} // namespace

RoomDemand::RoomDemand(const schema::StepSpecT& step)
    : reserved(computeDemand(step))
{
    if (step.fills)
        fillingCpu = step.cpu_millis;
}

OpenWorkers::OpenWorkers(State& state)
    : m_state(state)
{
}

const std::vector<WorkerRoom>& OpenWorkers::ofService(const std::string& service)
{
    const auto [it, isNew] = m_rooms.try_emplace(service);
    if (!isNew)
        return it->second;
    for (auto& [id, worker] : m_state.workers) {
        if (isOpen(m_state, worker) && worker.service.value() == service)
            it->second.push_back(makeRoom(worker));
    }
    return it->second;
}

void OpenWorkers::refresh(Worker& worker)
{
    const auto rooms = m_rooms.find(worker.service.value());
    if (rooms == m_rooms.end())
        return;
    const auto it = std::ranges::find(rooms->second, &worker, &WorkerRoom::worker);
    if (it != rooms->second.end())
        *it = makeRoom(worker);
}

} // namespace kingcuploom::scheduler
