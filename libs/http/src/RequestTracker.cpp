#include "RequestTracker.h"

namespace kingcuploom::http {

void RequestTracker::add(const void* request, int descriptor)
{
    const std::scoped_lock lock(m_mutex);
    m_requests[request] = descriptor;
}

int RequestTracker::descriptorOf(const void* request) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? -1 : it->second;
}

bool RequestTracker::admit(const void* request, std::size_t limit)
{
    const std::scoped_lock lock(m_mutex);
    if (m_admitted.size() >= limit)
        return false;
    m_admitted.insert(request);
    return true;
}

void RequestTracker::remove(const void* request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.erase(request);
    m_admitted.erase(request);
    m_changed.notify_all();
}

void RequestTracker::waitUntilNone()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_requests.empty(); });
}

} // namespace kingcuploom::http
