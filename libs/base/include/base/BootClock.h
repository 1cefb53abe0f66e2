#pragma once

#include "base/Clock.h"

namespace kingcuploom {

// Monotonic time that also counts while the machine is suspended, as leases do at those that hold them.
class BootClock final : public Clock {
public:
    MonotonicTime now() const override;
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace kingcuploom
