#pragma once

#include "daemon/VmList.h"
#include "http/HttpClient.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace kingcuploom {

struct VmListPollerSettings {
    // Base URL of the platform's VM list.
    std::string url;
    Milliseconds period { 1000 };
    // See rackGroupOf().
    unsigned groupsPerDomain = 0;
};

enum class PollOutcome {
    Updated,
    // No answer, or another status than 200. Proves nothing, the catalog stays.
    Failed,
    // Like Failed, for an answer that cannot be read.
    Malformed,
};

// Reads the VM list periodically into the catalog, on a thread of its own.
class VmListPoller {
public:
    VmListPoller(http::HttpClient&, TargetCatalog&, const Clock&, VmListPollerSettings);
    ~VmListPoller();
    VmListPoller(const VmListPoller&) = delete;
    VmListPoller& operator=(const VmListPoller&) = delete;

    void start();
    void stop();

    // One poll by the calling thread; not while the poller runs.
    PollOutcome poll();

    // Polls since the start that brought no new list. Thread-safe.
    std::uint64_t failures() const { return m_failures; }

private:
    void run();
    PollOutcome read();

    http::HttpClient& m_client;
    TargetCatalog& m_catalog;
    const Clock& m_clock;
    VmListPollerSettings m_settings;
    VmListHistory m_history;
    PollOutcome m_lastOutcome = PollOutcome::Updated;
    std::atomic<std::uint64_t> m_failures = 0;

    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace kingcuploom
