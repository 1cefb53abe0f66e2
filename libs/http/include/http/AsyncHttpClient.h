#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/Ids.h"
#include "http/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcuploom::http {

enum class AsyncCallError {
    // No byte of the request was sent.
    NotSent,
    // No byte of the request was sent within the call's maxSendDelay.
    NotSentInTime,
    // The request may have been executed, or may be executed later.
    NoAnswer,
    // The same, but the peer's host has received the whole request by now, so that none of it arrives later.
    DeliveredUnanswered,
};

const char* toString(AsyncCallError);

// Returns true if the client can call the address: IPv4 numbers and a port from 1 to 65535.
bool isNumericAddress(const Address&);

struct AsyncCall {
    Address address;
    std::string method = "GET";
    // Path with query.
    std::string target;
    Headers headers;
    std::string body;
    Milliseconds timeout { 1000 };
    // Writing of the request must begin within this time, which includes waiting for a connection. Empty: no limit but the timeout.
    std::optional<Milliseconds> maxSendDelay;
    // A call whose earlier try had no answer; it gets a connection on which nothing has been sent.
    bool isRepeat = false;
};

struct AsyncClientLimits {
    // An idle connection is closed after this time, because peers and paths drop idle connections without notice.
    Milliseconds idleTimeout { 8000 };
    Milliseconds connectTimeout { 1000 };
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    // Connections to one address, idle ones included; further calls wait for one.
    std::size_t maxConnections = 16;
};

using AsyncCallback = std::function<void(Expected<Response, AsyncCallError>)>;

// HTTP/1.1 client for one event loop. All methods and callbacks run on the loop's thread. One call at a time on a connection;
// connections are kept and reused per address.
class AsyncHttpClient {
public:
    // The clock must also count the time for which the machine is suspended, since the limits of a call hold meanwhile.
    AsyncHttpClient(boost::asio::io_context&, const Clock&, AsyncClientLimits = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    // The callback is called exactly once, never from within call(). A call that timed out closes its connection. A repeated call
    // opens a new connection, since the old one may have gone silent.
    void call(AsyncCall, AsyncCallback);

    // Closes the idle connections to the address.
    void closeIdle(const Address&);

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace kingcuploom::http
