#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kingcuploom::requests {

// Threads for blocking calls to targets. Starts one when none is idle, up to the limit. Thread-safe.
class DispatchThreads {
public:
    explicit DispatchThreads(std::size_t maxThreads);
    ~DispatchThreads();
    DispatchThreads(const DispatchThreads&) = delete;
    DispatchThreads& operator=(const DispatchThreads&) = delete;

    void post(std::function<void()>);

    // Runs what was posted, then ends the threads. Later posts are run by the caller of post().
    void stop();

private:
    void run();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_isStopping = false;
};

} // namespace kingcuploom::requests
