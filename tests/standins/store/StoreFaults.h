#pragma once

#include "base/Clock.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace kingcuploom::testing {

// Faults that tests inject, and the delay of a slow store. Thread-safe.
class StoreFaults {
public:
    // All calls fail with status 503 and have no effect.
    std::atomic<bool> isDown = false;
    // Delay before a call is executed and before an event is delivered.
    std::atomic<std::int64_t> slowMs = 0;
    // Number of subsequent writes that take effect but whose response is lost.
    std::atomic<std::int64_t> loseAnswers = 0;

    // Serves reads of keys with this prefix from the state at the given revision; an empty prefix disables the fault.
    void setStale(const std::string& prefix, std::int64_t revision);
    // Revision to serve a read from; 0 for the current one.
    std::int64_t staleRevision(const std::string& key) const;

    // Blocks until reads of the key are no longer stale, stop() is called, or "isEnded", which is polled, returns true.
    void waitWhileStale(const std::string& key, const std::function<bool()>& isEnded);

    // Rejects writes of keys with this prefix without effect; an empty prefix disables the fault.
    void setRefusedWrites(const std::string& prefix);
    bool refusesWrite(const std::string& key) const;

    // Blocks for the configured delay or until stop() is called.
    void delay();
    void stop();
    // Returns whether the response of this write is lost, and decrements the number of those left.
    bool consumeLostResponse();

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::string m_stalePrefix;
    std::int64_t m_staleRevision = 0;
    std::string m_refusedWritePrefix;
};

} // namespace kingcuploom::testing
