#include "StoreFaults.h"

namespace kingcuploom::testing {

namespace {

    constexpr Milliseconds stalenessPollInterval { 10 };

} // namespace

void StoreFaults::delay()
{
    const Milliseconds delay(slowMs.load());
    if (delay.count() <= 0)
        return;
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, delay, [this] { return m_isStopping; });
}

void StoreFaults::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
}

bool StoreFaults::consumeLostResponse()
{
    auto left = loseAnswers.load();
    while (left > 0 && !loseAnswers.compare_exchange_weak(left, left - 1)) { }
    return left > 0;
}

void StoreFaults::setStale(const std::string& prefix, std::int64_t revision)
{
    const std::scoped_lock lock(m_mutex);
    m_stalePrefix = prefix;
    m_staleRevision = revision;
}

std::int64_t StoreFaults::staleRevision(const std::string& key) const
{
    const std::scoped_lock lock(m_mutex);
    return !m_stalePrefix.empty() && key.starts_with(m_stalePrefix) ? m_staleRevision : 0;
}

void StoreFaults::waitWhileStale(const std::string& key, const std::function<bool()>& isEnded)
{
    while (staleRevision(key) != 0 && !isEnded()) {
        std::unique_lock lock(m_mutex);
        if (m_stopped.wait_for(lock, stalenessPollInterval, [this] { return m_isStopping; }))
            return;
    }
}

void StoreFaults::setRefusedWrites(const std::string& prefix)
{
    const std::scoped_lock lock(m_mutex);
    m_refusedWritePrefix = prefix;
}

bool StoreFaults::refusesWrite(const std::string& key) const
{
    const std::scoped_lock lock(m_mutex);
    return !m_refusedWritePrefix.empty() && key.starts_with(m_refusedWritePrefix);
}

} // namespace kingcuploom::testing
