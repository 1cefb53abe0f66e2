#include "LoadGenerator.h"

#include <algorithm>

namespace kingcuploom::scenario {

LoadGenerator::LoadGenerator(LoadOptions options)
    : m_options(std::move(options))
{
    for (int i = 0; i < m_options.callers; ++i)
        m_threads.emplace_back([this, i] { m_options.schedule.empty() ? runClosedLoop(i) : runSchedule(i); });
}

LoadGenerator::~LoadGenerator() { stop(); }

std::vector<CallRecord> LoadGenerator::waitForCompletion()
{
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    const std::scoped_lock lock(m_mutex);
    return m_records;
}

std::vector<CallRecord> LoadGenerator::stop()
{
    m_isStopping = true;
    return waitForCompletion();
}

std::size_t LoadGenerator::recordCount() const
{
    const std::scoped_lock lock(m_mutex);
    return m_records.size();
}

void LoadGenerator::runClosedLoop(int caller)
{
    auto urlIndex = static_cast<std::size_t>(caller);
    while (!m_isStopping) {
        const int n = m_nextCall++;
        if (m_options.calls > 0 && n >= m_options.calls)
            return;
        const auto& url = m_options.urls[urlIndex++ % m_options.urls.size()];
        const ScheduledCall call { {}, m_options.service, m_options.team, m_options.method, m_options.workMs, m_options.deadlineMs,
            m_options.bodyBytes };
        auto record = sendCall(url, m_options.idPrefix + std::to_string(n), call);
        const bool hasSucceeded = record.status == 200;
        addRecord(std::move(record));
        // Backs off after a failed call, so that callers do not busy-loop on a daemon that rejects their requests.
        if (!hasSucceeded)
            std::this_thread::sleep_for(Milliseconds(10));
    }
}

void LoadGenerator::addRecord(CallRecord record)
{
    const std::scoped_lock lock(m_mutex);
    m_records.push_back(std::move(record));
}

void LoadGenerator::runSchedule(int caller)
{
    auto urlIndex = static_cast<std::size_t>(caller);
    while (!m_isStopping) {
        const auto n = static_cast<std::size_t>(m_nextCall++);
        if (n >= m_options.schedule.size())
            return;
        const auto& call = m_options.schedule[n];
        std::this_thread::sleep_until(m_startTime + call.startOffset);
        addRecord(sendCall(m_options.urls[urlIndex++ % m_options.urls.size()], m_options.idPrefix + std::to_string(n), call));
    }
}

CallRecord LoadGenerator::sendCall(const std::string& url, const std::string& id, const ScheduledCall& call)
{
    const auto body = id + ":" + std::string(static_cast<std::size_t>(call.bodyBytes), 'x');
    const auto path = m_options.pathPrefix.empty() ? std::string("/run/check") : m_options.pathPrefix + call.service + "/check";
    http::Request request { call.method, path,
        { { "X-Request-Id", id }, { "X-Work-Ms", std::to_string(call.workMs) },
            { "X-Kingcuploom-Deadline-Ms", std::to_string(call.deadlineMs) }, { "X-Kingcuploom-Team", call.team } },
        body };
    CallRecord record;
    record.id = id;
    const auto startTime = std::chrono::steady_clock::now();
    http::CallOptions options;
    options.timeout = Milliseconds(call.deadlineMs + 5000);
    options.reuse = m_options.reusesConnections ? http::ConnectionReuse::Allowed : http::ConnectionReuse::Forbidden;
    const auto response = m_client.call(url, request, options);
    record.latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - startTime);
    if (!response) {
        record.outcome = http::isNotSent(response.error().code) ? "no-connection" : "connection-lost";
        return record;
    }
    record.status = response->status;
    record.outcome = http::headerValue(response->headers, "X-Kingcuploom-Outcome");
    record.isIntactResponse = http::headerValue(response->headers, "X-Request-Id") == id && response->body.find(body) != std::string::npos;
    return record;
}

} // namespace kingcuploom::scenario
