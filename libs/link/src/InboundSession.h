#pragma once

#include "FramedSocket.h"

namespace kingcuploom::link {

// Accepted connection: checks the peer's Hello, answers with the own one, then passes on messages and answers probes. Runs on the
// strand of its socket.
class InboundSession : public std::enable_shared_from_this<InboundSession> {
public:
    using EndHandler = std::function<void(const InboundSession&)>;

    InboundSession(asio::ip::tcp::socket, HubContext&, EndHandler);

    void start();
    void stop();

private:
    bool handle(std::string_view frame);
    bool handleHello(const schema::HelloT&);
    void deliver(const schema::LinkMessageT&);
    void end(CloseReason);

    asio::any_io_executor m_executor;
    HubContext& m_context;
    std::string m_remote;
    std::shared_ptr<FramedSocket> m_stream;
    asio::steady_timer m_timer;
    EndHandler m_onEnd;
    Peer m_peer;
    bool m_isAccepted = false;
};

} // namespace kingcuploom::link
