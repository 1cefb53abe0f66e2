#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace kingcuploom {

// Runs calls one after another on a thread of its own. Thread-safe.
class CallQueue {
public:
    ~CallQueue() { stop(); }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    // Drops the calls that wait and waits for the running one.
    void stop()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_isStopped = true;
            m_calls.clear();
        }
        m_changed.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    // Returns false when as many calls wait already, or after stop().
    bool post(std::function<void()> call, std::size_t limit = static_cast<std::size_t>(-1))
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_isStopped || m_calls.size() >= limit)
                return false;
            m_calls.push_back(std::move(call));
        }
        m_changed.notify_one();
        return true;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_changed.wait(lock, [this] { return m_isStopped || !m_calls.empty(); });
            if (m_isStopped)
                return;
            const auto call = std::move(m_calls.front());
            m_calls.pop_front();
            lock.unlock();
            call();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_calls;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace kingcuploom
