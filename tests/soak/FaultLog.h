#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kingcuploom::soak {

// Records when faults were active. Times are microseconds of the machine's steady clock. Not thread-safe.
class FaultLog {
public:
    // Returns the fault's index, for end().
    std::size_t begin(std::int64_t at);
    void end(std::size_t fault, std::int64_t at);

    // Returns the time since which no fault has been active; empty if one was active at the given time.
    std::optional<std::int64_t> calmSince(std::int64_t at) const;

private:
    struct Period {
        std::int64_t begin = 0;
        // Empty while the fault is active.
        std::optional<std::int64_t> end;
    };
    std::vector<Period> m_periods;
};

} // namespace kingcuploom::soak
