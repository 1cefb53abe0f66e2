#pragma once

#include "base/Clock.h"
#include "http/HttpServer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace kingcuploom::http {

// True once the other side has closed the connection or its sending side, which cannot be told apart.
bool isClosedByPeer(int descriptor);

// Open connections of a server by socket. Ends those whose request does not arrive in time. Thread-safe.
class ConnectionWatch {
public:
    ~ConnectionWatch();

    // "refusal" is sent before a connection is ended. With "isCounting", each new connection costs one poll() of each open one.
    void start(Milliseconds receiveTimeout, std::string refusal, bool isCounting);
    void stop();

    // A connection is receiving from its opening on, and from each later request line on.
    void opened(int descriptor);
    void receiving(int descriptor);
    void received(int descriptor);
    // Has to be called before the socket is closed.
    void closed(int descriptor);

    // Waits until no open connection is receiving a request, at most for the limit.
    void waitForReceiving(Milliseconds limit);

    ConnectionCounts counts() const;

private:
    void run();
    void endLate(MonotonicTime now);

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    // With the start of the receiving; empty while nothing is awaited.
    std::map<int, std::optional<MonotonicTime>> m_connections;
    Milliseconds m_receiveTimeout {};
    std::string m_refusal;
    bool m_isCounting = false;
    bool m_isStopping = false;
    int m_peak = 0;
    std::thread m_thread;
};

} // namespace kingcuploom::http
