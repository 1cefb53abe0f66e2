#pragma once

#include "scheduler/Model.h"

#include <limits>

namespace kingcuploom::scheduler {

// Copy of what most placements fail for, stored compactly so that a full worker is rejected without reading the rest of its state.
struct WorkerRoom {
    Worker* worker = nullptr;
    Resources free;
    // Upper bound of the CPU of a filling task that leaves the minimum headroom, in millicores.
    std::int64_t maxFillingCpu = 0;
};

// What a task of a step needs at least, in the form that is compared with the room of many workers.
struct RoomDemand {
    explicit RoomDemand(const schema::StepSpecT&);

    // Returns false if the worker certainly has too little room.
    bool mayFit(const WorkerRoom& room) const { return reserved.fitsInto(room.free) && fillingCpu <= room.maxFillingCpu; }

    Resources reserved;
    std::int64_t fillingCpu = std::numeric_limits<std::int64_t>::min();
};

// The workers that one placement pass can use: listed, answering polls and in an open domain. A pass changes only reservations, so the
// workers are selected once.
class OpenWorkers {
public:
    explicit OpenWorkers(State&);

    // Returns the open workers of the service in the order of their ids.
    const std::vector<WorkerRoom>& ofService(const std::string& service);
    // Must be called after each change of the worker's reservations.
    void refresh(Worker&);

private:
    State& m_state;
    std::map<std::string, std::vector<WorkerRoom>> m_rooms;
};

} // namespace kingcuploom::scheduler
