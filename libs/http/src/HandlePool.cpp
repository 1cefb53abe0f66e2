#include "HandlePool.h"

namespace kingcuploom::http {

namespace {

    // For servers without a stated limit.
    constexpr std::size_t defaultMaxConnections = 16;

    // Below the idle timeout of HttpServer, so that the client closes an unused connection first.
    constexpr std::chrono::seconds maxIdleTime { 30 };
    constexpr std::chrono::seconds sweepPeriod { 5 };

} // namespace

EasyHandle makeEasyHandle()
{
    static const CURLcode s_globalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
    return s_globalInit == CURLE_OK ? EasyHandle(curl_easy_init()) : nullptr;
}

HandlePool::Host& HandlePool::hostOf(const std::string& baseUrl)
{
    const auto [it, isNew] = m_hosts.try_emplace(baseUrl);
    if (isNew)
        it->second.maxConnections = defaultMaxConnections;
    return it->second;
}

EasyHandle HandlePool::take(const std::string& baseUrl, bool mayReuse, std::size_t maxConnections)
{
    const std::scoped_lock lock(m_mutex);
    auto& host = hostOf(baseUrl);
    if (maxConnections > 0)
        host.maxConnections = maxConnections;
    ++host.inUse;
    if (mayReuse && !host.idle.empty()) {
        // The most recently used connection is the least likely to have been closed by the server.
        auto handle = std::move(host.idle.back().handle);
        host.idle.pop_back();
        dropSurplus(host);
        return handle;
    }
    // Before the new connection is made.
    dropSurplus(host);
    return makeEasyHandle();
}

void HandlePool::giveBack(const std::string& baseUrl, EasyHandle handle)
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    auto& host = hostOf(baseUrl);
    --host.inUse;
    if (handle)
        host.idle.push_back({ std::move(handle), now });
    dropSurplus(host);
    dropOld(now);
}

void HandlePool::limit(const std::string& baseUrl, std::size_t maxConnections)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_hosts.find(baseUrl);
    if (it == m_hosts.end())
        return;
    it->second.maxConnections = maxConnections;
    dropSurplus(it->second);
}

void HandlePool::dropSurplus(Host& host)
{
    while (!host.idle.empty() && host.idle.size() + host.inUse > host.maxConnections)
        host.idle.pop_front();
}

void HandlePool::dropOld(MonotonicTime now)
{
    if (now - m_lastSweep < sweepPeriod)
        return;
    m_lastSweep = now;
    for (auto& [url, host] : m_hosts)
        std::erase_if(host.idle, [&](const Idle& entry) { return now - entry.since > maxIdleTime; });
    std::erase_if(m_hosts, [](const auto& entry) { return entry.second.idle.empty() && entry.second.inUse == 0; });
}

} // namespace kingcuploom::http
