#pragma once

namespace kingcuploom::routing {

// Observed service times of one pool, in milliseconds. All values are 0 before the first observation.
struct ServiceTime {
    double meanMs = 0;
    // Running estimate of the 99th percentile.
    double tailMs = 0;
    int samples = 0;
};

void observe(ServiceTime&, double ms);

} // namespace kingcuploom::routing
