#pragma once

#include "base/Expected.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace kingcuploom::http {

enum class ServerError {
    CannotListen,
};

struct ServerLimits {
    // Requests handled at the same time, open streams included; further ones are answered with 503 and not handled. A quarter more
    // connections are accepted.
    unsigned maxConnections = 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    // Request line included.
    std::size_t maxHeaderBytes = 16 * 1024;
    // A connection without traffic for this time is closed. Must exceed the time that a handler blocks.
    std::chrono::seconds idleTimeout { 60 };
    // A request that has not arrived as a whole in this time is answered with 408 and its connection closed. Counts from the opening of
    // the connection, for later requests on it from the request line.
    Milliseconds receiveTimeout { 30'000 };
    // Added to the answers that the server gives by itself.
    Headers refusalHeaders {};
    // Counts the peak of open connections; costs one poll() of each open one for each new one.
    bool isCountingConnections = false;
};

struct ConnectionCounts {
    int open = 0;
    int peak = 0;
};

// Answers 408, 413 and 431 by itself for late requests and for bodies and headers over the limits. Handlers run on one thread per
// connection and may block.
using Handler = std::function<Response(const Request&)>;

// A body sent in pieces: returns the next piece, waits for it, and an empty piece ends the answer. An exception from "nextPiece"
// breaks the connection off, so that the caller sees a truncated answer.
struct StreamResponse {
    int status = 200;
    Headers headers;
    std::function<std::string()> nextPiece;
    // Makes a waiting "nextPiece" return; called by stop(), from another thread. Without it stop() waits for "nextPiece".
    std::function<void()> cancel;
};
using StreamHandler = std::function<StreamResponse(const Request&)>;

// HTTP server on ulfius.
class HttpServer {
public:
    explicit HttpServer(ServerLimits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Before start(). The longest matching prefix of the path wins; method "*" matches all.
    void route(const std::string& method, const std::string& pathPrefix, Handler);
    void routeStream(const std::string& method, const std::string& pathPrefix, StreamHandler);

    // Port 0 lets the kernel choose. Returns the port.
    Expected<std::uint16_t, ServerError> start(const std::string& host, std::uint16_t port);

    // Ends the listener, waits for the requests in progress and their answers, and ends streams. A request that arrives on an open
    // connection in this time is answered with 503 and not handled.
    void stop();

    // Connections that neither side has closed. The peak needs "isCountingConnections".
    ConnectionCounts connectionCounts() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom::http
