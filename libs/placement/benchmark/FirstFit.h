#pragma once

#include "placement/Placement.h"

#include <optional>

namespace kingcuploom::trial {

// The first worker with room for the declared size; what the learned decisions are compared with.
std::optional<placement::ReservedChoice> firstFit(const placement::PlacementView&, const placement::PlacementTask&, MonotonicTime now);

} // namespace kingcuploom::trial
