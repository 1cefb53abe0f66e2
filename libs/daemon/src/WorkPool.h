#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuploom {

// Threads that run jobs; a key is queued or running at most once. Thread-safe.
class WorkPool {
public:
    using Work = std::function<void()>;

    explicit WorkPool(unsigned threads)
        : m_size(threads)
    {
    }
    ~WorkPool() { stop(); }
    WorkPool(const WorkPool&) = delete;
    WorkPool& operator=(const WorkPool&) = delete;

    void start();

    // Drops what is queued and waits for what runs.
    void stop();

    // False when the key is queued or running already, or the pool is stopped.
    bool post(const std::string& key, Work);

private:
    struct Item {
        std::string key;
        Work work;
    };

    void run();

    unsigned m_size;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Item> m_queue;
    std::set<std::string> m_keys;
    std::vector<std::thread> m_threads;
    bool m_isRunning = false;
};

} // namespace kingcuploom
