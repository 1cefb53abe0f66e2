#pragma once

#include <atomic>
#include <chrono>

namespace kingcuploom {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Source of time; passed in wherever time matters. Implementations are thread-safe.
class Clock {
public:
    virtual ~Clock() = default;

    // For leases, deadlines and timeouts.
    virtual MonotonicTime now() const = 0;

    // For audit events and logs only.
    virtual WallTime wallNow() const = 0;
};

class SystemClock final : public Clock {
public:
    MonotonicTime now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

// Clock for tests; moves only when told.
class ManualClock final : public Clock {
public:
    MonotonicTime now() const override { return MonotonicTime(m_elapsed.load()); }
    WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(m_elapsed.load())); }
    void advance(std::chrono::nanoseconds step) { m_elapsed = m_elapsed.load() + step; }

private:
    std::atomic<std::chrono::nanoseconds> m_elapsed { std::chrono::hours(1) };
};

} // namespace kingcuploom
