#include "requests/DispatchThreads.h"

#include <algorithm>

namespace kingcuploom::requests {

DispatchThreads::DispatchThreads(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

DispatchThreads::~DispatchThreads() { stop(); }

void DispatchThreads::post(std::function<void()> job)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isStopping) {
            m_jobs.push_back(std::move(job));
            if (m_jobs.size() > m_idle && m_threads.size() < m_maxThreads)
                m_threads.emplace_back([this] { run(); });
            m_wake.notify_one();
            return;
        }
    }
    job();
}

void DispatchThreads::stop()
{
    std::vector<std::thread> threads;
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    std::ranges::for_each(threads, [](auto& thread) { thread.join(); });
}

void DispatchThreads::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_wake.wait(lock, [this] { return m_isStopping || !m_jobs.empty(); });
        --m_idle;
        if (m_jobs.empty())
            return;
        const auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace kingcuploom::requests
