#pragma once

#include "base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace kingcuploom::soak {

// What happens to the bytes that pass a proxy.
struct LinkFault {
    // Bytes are held, in one direction or both; neither side sees the connection close.
    bool isBlockedToTarget = false;
    bool isBlockedToCaller = false;
    Milliseconds delay { 0 };
};

// TCP proxy on loopback between a process and one that it calls. Its methods may be called from any thread; it works on the thread of the
// event loop.
class FaultProxy {
public:
    explicit FaultProxy(boost::asio::io_context&);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    std::uint16_t port() const;
    // Until this call connections are closed at once.
    void setTarget(std::uint16_t port);
    void setFault(LinkFault);
    // Resets all open connections.
    void reset();

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace kingcuploom::soak
