#pragma once

#include "scheduler/Model.h"

#include <compare>

namespace kingcuploom::scheduler {

// What a job that waits for room can still achieve. In order of service within one priority.
enum class DeadlineStatus {
    // Can be done by its due time.
    OnTime,
    // Has standing tasks; each moment without them counts the same.
    Standing,
    // Is past its due time, or will be, but is still of use.
    Late,
    // Is past the time up to which a late job is of use.
    Expired,
};

// Order in which waiting jobs take room; the least one is first. Figures of one moment.
struct Urgency {
    std::uint32_t priority = 0;
    DeadlineStatus outlook = DeadlineStatus::OnTime;
    // Time, in milliseconds.
    std::int64_t rank = 0;

    auto operator<=>(const Urgency&) const = default;
};

Urgency computeUrgency(const State&, const Job&, MonotonicTime now);

// Estimated time of the longest chain of steps that are not done, over the open occurrences.
Milliseconds computeRemainingCriticalPath(const Job&);

} // namespace kingcuploom::scheduler
