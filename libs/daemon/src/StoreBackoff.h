#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "store/Store.h"

#include <mutex>

namespace kingcuploom {

// Holds back store calls after failures: exponential delay with jitter, and one trial call at a time until a call succeeds.
// Thread-safe.
class StoreBackoff {
public:
    explicit StoreBackoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // True when a call may be made now. After a failure this grants one trial call; succeeded() or failed() must follow.
    bool mayCall(MonotonicTime now);

    // True when mayCall() would refuse; grants nothing.
    bool isHeldBack(MonotonicTime now);

    void succeeded();
    void failed(MonotonicTime now);

private:
    Milliseconds nextDelay();

    std::mutex m_mutex;
    Random m_random;
    unsigned m_failures = 0;
    MonotonicTime m_retryAt {};
};

// True for errors that say nothing about the record but that the store does not answer.
bool isOutage(store::StoreErrorCode);

} // namespace kingcuploom
