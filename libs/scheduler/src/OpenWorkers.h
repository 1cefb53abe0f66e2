#pragma once

#include "scheduler/Model.h"

namespace kingcuploom::scheduler {

// Copy of what most placements fail for, stored compactly so that a full worker is rejected without reading the rest of its state.
struct WorkerRoom {
    Worker* worker = nullptr;
    Resources free;
    std::int64_t cpuCapacity = 0;
    // Expected CPU use of the worker's runs, in millicores.
    std::int64_t cpuUse = 0;
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

// Returns false if the worker certainly has too little room for a task of the step.
bool mayFit(const WorkerRoom&, const schema::StepSpecT&);

} // namespace kingcuploom::scheduler
