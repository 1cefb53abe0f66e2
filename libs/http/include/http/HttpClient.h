#pragma once

#include "base/Expected.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace kingcuploom::http {

enum class ClientErrorCode {
    // No byte of the request was sent: safe to say "not run".
    ConnectFailed,
    // The time ran out before a byte was sent.
    TimeoutBeforeSend,
    // The time ran out after a byte was sent.
    Timeout,
    // The connection broke after a byte was sent.
    ConnectionLost,
    // The body ended before its declared length.
    Truncated,
    ResponseTooLarge,
    // The caller of the client asked to stop.
    Cancelled,
};

struct ClientError {
    ClientErrorCode code;
    std::string detail;
};

// True when no byte of the request can have reached the server.
bool isNotSent(ClientErrorCode);

enum class ConnectionReuse {
    // When a reused connection turns out dead, GET, HEAD, PUT, DELETE and OPTIONS are sent once more on a new connection; any other
    // method ends with ConnectionLost.
    Allowed,
    // A fresh connection, closed after the call. The request is never sent again.
    Forbidden,
};

struct CallOptions {
    // For the whole call. Not positive: TimeoutBeforeSend at once.
    Milliseconds timeout { 1000 };
    std::size_t maxResponseBytes = 4 * 1024 * 1024;
    ConnectionReuse reuse = ConnectionReuse::Allowed;
    // For the connection alone; not positive: only "timeout" applies.
    Milliseconds connectTimeout { 0 };
    // Open connections to the base URL, idle ones included; idle ones are closed to make room. Holds as long as no more calls than this are
    // in progress. 0 keeps the limit of earlier calls, at first 16.
    std::size_t maxConnections = 0;
    // Asked about once a second by the thread of the call; true ends the call with Cancelled.
    std::function<bool()> isCancelled = nullptr;
};

// Ends a running stream() from another thread. Thread-safe; for one stream at a time.
class Cancellation {
public:
    void cancel();
    bool isCancelled() const;

private:
    friend class HttpClient;
    void attach(void* multi);

    mutable std::mutex m_mutex;
    bool m_isCancelled = false;
    // The curl multi handle that waits, or nullptr.
    void* m_multi = nullptr;
};

struct StreamOptions {
    Milliseconds connectTimeout { 1000 };
    // Called with the status before the first data; false ends the stream with Cancelled.
    std::function<bool(int status)> onStatus;
    // May be nullptr; must outlive the call.
    Cancellation* cancellation = nullptr;
};

// Pool of reused connections. Blocking calls; thread-safe; at most one connection per call in progress.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // "baseUrl" is "http://host:port"; the request's path is appended.
    Expected<Response, ClientError> call(const std::string& baseUrl, const Request&, const CallOptions&);

    // New limit for the connections to the base URL; idle ones over it are closed now.
    void limitConnections(const std::string& baseUrl, std::size_t maxConnections);

    // Streams the body of the answer to "onData" until it returns false or the stream is cancelled (Cancelled), the server ends it
    // (success) or the connection breaks.
    Expected<void, ClientError> stream(
        const std::string& baseUrl, const Request&, std::function<bool(std::string_view)> onData, const StreamOptions& = {});

private:
    struct Pool;
    std::unique_ptr<Pool> m_pool;
};

} // namespace kingcuploom::http
