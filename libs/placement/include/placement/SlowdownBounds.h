#pragma once

#include "schema/generated/resources_generated.h"

namespace kingcuploom::placement {

// Slowdowns of a service that the controller keeps, as logarithms. The gap between both is the hysteresis.
struct SlowdownBounds {
    double high = 0;
    double low = 0;
};

// Effects below 2% are within the noise of the estimate and not worth an action.
constexpr double minEffect = 0.02;

SlowdownBounds slowdownBounds(const schema::PolicySpecT&);

} // namespace kingcuploom::placement
