#include "base/BootClock.h"

#include <ctime>

namespace kingcuploom {

MonotonicTime BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace kingcuploom
