#include "InboundSession.h"

#include "base/Log.h"

namespace kingcuploom::link {

namespace {

    std::string remoteOf(const asio::ip::tcp::socket& socket)
    {
        asio::error_code ec;
        const auto endpoint = socket.remote_endpoint(ec);
        return ec ? std::string("unknown") : endpoint.address().to_string();
    }

} // namespace

InboundSession::InboundSession(asio::ip::tcp::socket socket, HubContext& context, EndHandler onEnd)
    : m_executor(socket.get_executor())
    , m_context(context)
    , m_remote(remoteOf(socket))
    , m_stream(std::make_shared<FramedSocket>(std::move(socket), context))
    , m_timer(m_executor)
    , m_onEnd(std::move(onEnd))
{
}

void InboundSession::start()
{
    asio::post(m_executor, [self = shared_from_this()] {
        // The stream is owned by the session, so its handlers must not own the session.
        const std::weak_ptr<InboundSession> weak = self;
        self->m_timer.expires_after(self->m_context.settings.handshakeTimeout);
        self->m_timer.async_wait([weak](asio::error_code ec) {
            const auto session = weak.lock();
            if (ec || !session || session->m_isAccepted)
                return;
            ++session->m_context.counters.handshakeTimeouts;
            session->m_stream->close(CloseReason::Local);
        });
        self->m_stream->start(
            [weak](std::string_view frame) {
                const auto session = weak.lock();
                return session && session->handle(frame);
            },
            [weak](CloseReason reason) {
                if (const auto session = weak.lock())
                    session->end(reason);
            });
    });
}

void InboundSession::stop()
{
    asio::post(m_executor, [self = shared_from_this()] { self->m_stream->close(CloseReason::Local); });
}

bool InboundSession::handle(std::string_view frame)
{
    const auto message = decodeMessage(frame);
    if (!message && message.error() == FrameError::UnknownMessage && m_isAccepted) {
        ++m_context.counters.unknownMessages;
        return true;
    }
    if (!message)
        return false;
    if (const auto* hello = message->body.AsHello())
        return handleHello(*hello);
    if (!m_isAccepted)
        return false;
    deliver(*message);
    return true;
}

bool InboundSession::handleHello(const schema::HelloT& hello)
{
    if (m_isAccepted) {
        // A probe. When the queue is full, the missing answer tells the peer the same.
        (void)m_stream->send(helloFrame(m_context, HelloKind::Probe));
        return true;
    }
    if (!equalKeys(m_context.settings.key, hello.key)) {
        ++m_context.counters.wrongKeys;
        logEvent(LogLevel::Warning, "link_wrong_key", { { "remote", m_remote } });
        m_stream->close(CloseReason::Local);
        return true;
    }
    m_isAccepted = true;
    m_timer.cancel();
    m_peer = { DaemonId(hello.daemon), Incarnation(hello.incarnation), Address(hello.link_address) };
    m_stream->allowLargeFrames();
    (void)m_stream->send(helloFrame(m_context, HelloKind::Handshake));
    return true;
}

void InboundSession::deliver(const schema::LinkMessageT& message)
{
    const auto it = m_context.messageHandlers.find(message.body.type);
    if (it == m_context.messageHandlers.end() || m_context.isStopping)
        return;
    std::ranges::for_each(it->second, [&](const auto& handler) { handler(m_peer, message); });
}

void InboundSession::end(CloseReason reason)
{
    m_timer.cancel();
    const auto level = reason == CloseReason::BrokenFrame || reason == CloseReason::OversizedFrame ? LogLevel::Warning : LogLevel::Info;
    logEvent(level, "link_inbound_closed", { { "remote", m_remote }, { "peer", m_peer.daemon }, { "reason", toString(reason) } });
    m_onEnd(*this);
}

} // namespace kingcuploom::link
