#pragma once

#include "scheduler/Model.h"

#include <compare>

namespace kingcuploom::scheduler {

// How a waiting job stands against its due time, in the order in which jobs of one priority are placed.
enum class DeadlineStatus {
    // Has a standing task that was executed before and is not for some time, as after the loss of its worker.
    Interrupted,
    // Of a size whose recent jobs have been served more rarely than those of the whole queue; can finish while the result is useful.
    UnderservedBegun,
    Underserved,
    // Can finish by its due time.
    OnTime,
    // Has standing (long-running) tasks, whose downtime costs the same at any time.
    Standing,
    // Will finish after its due time, but while the result is still useful.
    Late,
    // Can no longer finish while a late result is useful.
    Expired,
};

// Sort key of waiting jobs, lowest first. Values are comparable only if computed for the same time.
struct Urgency {
    std::uint32_t priority = 0;
    DeadlineStatus outlook = DeadlineStatus::OnTime;
    // Time in milliseconds; breaks ties within a status.
    std::int64_t rank = 0;

    auto operator<=>(const Urgency&) const = default;
};

Urgency computeUrgency(const State&, const Job&, MonotonicTime now);

// Returns the time from which on the result of the job is of no use.
MonotonicTime computeUselessAt(const Job&);

// Returns the estimated duration of the critical path through the unfinished steps, maximal over the open occurrences.
Milliseconds computeRemainingCriticalPath(const Job&);

} // namespace kingcuploom::scheduler
