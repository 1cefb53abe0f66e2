#pragma once

#include "WorkerPort.h"
#include "http/HttpClient.h"

namespace kingcuploom {

struct WorkerTimeouts {
    Milliseconds call;
    // Part of the time within which a start takes effect or not at all.
    Milliseconds start;
};

// Worker interface as JSON over HTTP.
class HttpWorkerPort final : public WorkerPort {
public:
    HttpWorkerPort(http::HttpClient& client, const WorkerTimeouts& timeouts)
        : m_client(client)
        , m_timeouts(timeouts)
    {
    }

    Expected<void, WorkerError> start(const std::string& url, const StartCall&) override;
    Expected<SyncAnswer, WorkerError> sync(const std::string& url, const SyncCall&) override;
    Expected<std::uint64_t, WorkerError> stop(const std::string& url, const StopCall&) override;
    Expected<void, WorkerError> throttle(const std::string& url, const ThrottleCall&) override;

private:
    Expected<std::string, WorkerError> post(const std::string& url, const std::string& path, std::string body, Milliseconds timeout);

    http::HttpClient& m_client;
    const WorkerTimeouts m_timeouts;
};

} // namespace kingcuploom
