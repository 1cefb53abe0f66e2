#include "ConnectionWatch.h"

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>

namespace kingcuploom::http {

namespace {

    constexpr Milliseconds checkInterval { 100 };
    constexpr Milliseconds closingCheckInterval { 2 };

} // namespace

bool isClosedByPeer(int descriptor)
{
    pollfd entry { descriptor, POLLRDHUP, 0 };
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

ConnectionWatch::~ConnectionWatch() { stop(); }

void ConnectionWatch::start(Milliseconds receiveTimeout, std::string refusal, bool isCounting)
{
    m_receiveTimeout = receiveTimeout;
    m_refusal = std::move(refusal);
    m_isCounting = isCounting;
    m_thread = std::thread([this] { run(); });
}

void ConnectionWatch::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ConnectionWatch::opened(int descriptor)
{
    const std::scoped_lock lock(m_mutex);
    m_connections[descriptor] = std::chrono::steady_clock::now();
    if (!m_isCounting)
        return;
    // A connection that its caller has closed may not have been cleaned up yet.
    const auto open = std::ranges::count_if(m_connections, [](const auto& it) { return !isClosedByPeer(it.first); });
    m_peak = std::max(m_peak, int(open));
}

void ConnectionWatch::receiving(int descriptor)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_connections.find(descriptor);
    // The first request counts from the opening of the connection.
    if (it != m_connections.end() && !it->second)
        it->second = std::chrono::steady_clock::now();
}

void ConnectionWatch::received(int descriptor)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_connections.find(descriptor);
    if (it != m_connections.end())
        it->second.reset();
}

void ConnectionWatch::closed(int descriptor)
{
    const std::scoped_lock lock(m_mutex);
    m_connections.erase(descriptor);
}

void ConnectionWatch::waitForReceiving(Milliseconds limit)
{
    const auto isReceiving = [](const auto& it) { return it.second.has_value() && !isClosedByPeer(it.first); };
    std::unique_lock lock(m_mutex);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::ranges::any_of(m_connections, isReceiving) && std::chrono::steady_clock::now() < end)
        m_wake.wait_for(lock, closingCheckInterval);
}

ConnectionCounts ConnectionWatch::counts() const
{
    const std::scoped_lock lock(m_mutex);
    const auto open = std::ranges::count_if(m_connections, [](const auto& it) { return !isClosedByPeer(it.first); });
    return { int(open), m_peak };
}

void ConnectionWatch::endLate(MonotonicTime now)
{
    for (auto& [descriptor, since] : m_connections) {
        if (!since || now - *since < m_receiveTimeout)
            continue;
        since.reset();
        // libmicrohttpd sends nothing on a connection that it still receives a request from.
        (void)send(descriptor, m_refusal.data(), m_refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        shutdown(descriptor, SHUT_RDWR);
    }
}

void ConnectionWatch::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        endLate(std::chrono::steady_clock::now());
        m_wake.wait_for(lock, checkInterval, [this] { return m_isStopping; });
    }
}

} // namespace kingcuploom::http
