#include "routing/ExecutorSlots.h"

#include <algorithm>

namespace kingcuploom::routing {

void updateLimits(ExecutorSlots& slots, const TargetLimits& limits)
{
    const bool isNewTakeover = limits.predecessorUntil && limits.predecessorUntil != slots.limits.predecessorUntil;
    if (isNewTakeover)
        slots.predecessorBusy = limits.predecessorMax;
    if (!limits.predecessorUntil)
        slots.predecessorBusy = 0;
    slots.limits = limits;
}

void observeStatus(ExecutorSlots& slots, int active) { slots.predecessorBusy = std::min(slots.predecessorBusy, active); }

void expirePredecessor(ExecutorSlots& slots, MonotonicTime now)
{
    if (slots.limits.predecessorUntil && now >= *slots.limits.predecessorUntil)
        slots.predecessorBusy = 0;
}

int freeSlotsByLimits(const ExecutorSlots& slots)
{
    if (slots.limits.isLeaving)
        return 0;
    const int freeInPortion = slots.limits.allowed - slots.busy - int(slots.isStatusPending);
    const int freeInLimit = slots.limits.limit - slots.predecessorBusy - slots.busy;
    return std::max(0, std::min(freeInPortion, freeInLimit));
}

int freeSlots(const ExecutorSlots& slots)
{
    switch (slots.health.state) {
    case HealthState::Ejected:
        return 0;
    case HealthState::Probing:
        return slots.busy > 0 ? 0 : std::min(1, freeSlotsByLimits(slots));
    case HealthState::Healthy:
        break;
    }
    return freeSlotsByLimits(slots);
}

int usableSlots(const ExecutorSlots& slots)
{
    if (slots.limits.isLeaving || slots.health.state == HealthState::Ejected)
        return 0;
    if (slots.health.state == HealthState::Probing)
        return 1;
    return std::max(0, std::min(slots.limits.allowed, slots.limits.limit - slots.predecessorBusy));
}

} // namespace kingcuploom::routing
