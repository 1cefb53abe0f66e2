#pragma once

#include <atomic>
#include <cstdint>

namespace kingcuploom::store {

// Calls sent to the store since the start, by the kinds that its rate limits distinguish. Every attempt counts, also a failed one;
// a watch counts once. Thread-safe.
struct CallCounter {
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> leases = 0;
    std::atomic<std::uint64_t> watches = 0;
};

} // namespace kingcuploom::store
