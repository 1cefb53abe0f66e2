#pragma once

#include "base/Clock.h"
#include "placement/Placement.h"
#include "placement/WorkerController.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace kingcuploom::trial {

constexpr int longestLag = 6;

inline MonotonicTime timeAt(int second) { return MonotonicTime(std::chrono::hours(1) + std::chrono::seconds(second)); }

struct Task {
    placement::PlacementTask task;
    int classIndex = 0;
    double cores = 0;
    double runSeconds = 0;
    double done = 0;
    double checkpoint = 0;
    // Until then a checkpoint stops the task.
    int checkpointsUntil = 0;
    unsigned share = 1000;
    int startsAt = 0;
    int waitsSince = 0;
    bool isLate = false;
    std::optional<std::size_t> worker;
    ResourceAmounts reserve {};
};

struct Measurement {
    std::map<std::string, double> slowdowns;
};

struct Worker {
    placement::ControllerState controller;
    placement::PresenceLog presence;
    // Newest last.
    std::deque<Measurement> past;
    // Lost and not replaced until then.
    int backAt = 0;
};

} // namespace kingcuploom::trial
