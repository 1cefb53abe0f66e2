#pragma once

#include "scheduler/Model.h"

#include <map>

namespace kingcuploom::scheduler {

struct ExpectedRoom {
    MonotonicTime at;
    // Runs that have to end before.
    unsigned releases = 0;
};

// Estimates when workers will have room, from the declared run times of their runs. Standing tasks do not end by themselves.
class ReleaseForecast {
public:
    ReleaseForecast(State&, MonotonicTime now);

    // Returns how many tasks of the demand the worker holds beside its standing tasks, at most the limit.
    unsigned countFitting(const Worker&, const Resources& demand, unsigned limit);
    // Returns when the worker is expected to have room for that many tasks, or nothing if that takes the end of a standing task.
    std::optional<ExpectedRoom> findRoom(const Worker&, const Resources& demand, unsigned tasks);

private:
    struct Release {
        MonotonicTime at;
        Resources room;
    };

    // Free room now, followed by the room after each expected end.
    const std::vector<Release>& releasesOf(const Worker&);
    MonotonicTime expectedEnd(const Run&, const schema::StepSpecT&) const;

    State& m_state;
    MonotonicTime m_now;
    std::map<WorkerId, std::vector<Release>> m_releases;
};

} // namespace kingcuploom::scheduler
