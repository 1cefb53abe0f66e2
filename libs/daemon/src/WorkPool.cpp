#include "WorkPool.h"

namespace kingcuploom {

void WorkPool::start()
{
    const std::scoped_lock lock(m_mutex);
    m_isRunning = true;
    for (unsigned i = 0; i < m_size; ++i)
        m_threads.emplace_back([this] { run(); });
}

void WorkPool::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isRunning = false;
        m_queue.clear();
    }
    m_wake.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    m_keys.clear();
}

bool WorkPool::post(const std::string& key, Work work)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isRunning || !m_keys.insert(key).second)
            return false;
        m_queue.push_back({ key, std::move(work) });
    }
    m_wake.notify_one();
    return true;
}

void WorkPool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return !m_isRunning || !m_queue.empty(); });
        if (!m_isRunning)
            return;
        auto item = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        item.work();
        lock.lock();
        m_keys.erase(item.key);
    }
}

} // namespace kingcuploom
