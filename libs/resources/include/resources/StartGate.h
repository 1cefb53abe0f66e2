#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <optional>

namespace kingcuploom::resources {

enum class StartRefusal {
    NeverConfirmed,
    // The configuration was last confirmed longer ago than allowed.
    ConfirmationTooOld,
    DomainOutOfService,
};

const char* toString(StartRefusal);

// Reason why no task may start in the domain now, or nothing when a start is allowed. Call it immediately before sending the start.
// View provides confirmedAt() and snapshot() as ConfigView does.
template <typename View>
std::optional<StartRefusal> getStartRefusal(const View& view, const FailureDomain& domain, MonotonicTime now, Milliseconds maxAge)
{
    // The confirmation time is read before the snapshot, so the snapshot is at least as new as the confirmation.
    const auto confirmedAt = view.confirmedAt();
    if (!confirmedAt)
        return StartRefusal::NeverConfirmed;
    if (now - *confirmedAt > maxAge)
        return StartRefusal::ConfirmationTooOld;
    if (view.snapshot()->isOutOfService(domain))
        return StartRefusal::DomainOutOfService;
    return std::nullopt;
}

template <typename View> bool isStartAllowed(const View& view, const FailureDomain& domain, MonotonicTime now, Milliseconds maxAge)
{
    return !getStartRefusal(view, domain, now, maxAge);
}

} // namespace kingcuploom::resources
