#include "PeerLink.h"

#include "NumericAddress.h"
#include "base/Log.h"

namespace kingcuploom::link {

namespace {

    bool provesGone(PeerStatus status) { return status == PeerStatus::Refused || status == PeerStatus::Replaced; }

} // namespace

PeerLink::PeerLink(asio::io_context& io, Peer peer, HubContext& context)
    : m_strand(asio::make_strand(io))
    , m_peer(std::move(peer))
    , m_context(context)
    , m_timer(m_strand)
    , m_random(context.settings.incarnation.value() ^ context.nextSeed++)
    , m_backoff(context.settings.minBackoff)
{
}

void PeerLink::start()
{
    asio::post(m_strand, [self = shared_from_this()] { self->connect(); });
}

void PeerLink::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_isStopped = true;
        self->m_timer.cancel();
        if (const auto socket = std::exchange(self->m_connecting, nullptr)) {
            asio::error_code ec;
            socket->close(ec);
        }
        if (const auto stream = self->m_stream)
            stream->close(CloseReason::Local);
    });
}

Expected<void, LinkError> PeerLink::send(std::string frame)
{
    std::shared_ptr<FramedSocket> stream;
    {
        const std::scoped_lock lock(m_mutex);
        stream = m_ready;
    }
    if (!stream)
        return makeUnexpected(LinkError { LinkErrorCode::NotConnected });
    return stream->send(std::move(frame));
}

void PeerLink::after(Milliseconds delay, void (PeerLink::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), step, run = ++m_timerRun](asio::error_code ec) {
        if (!ec && !self->m_isStopped && run == self->m_timerRun)
            (self.get()->*step)();
    });
}

// A wait that has expired already, with its handler queued, can no longer be cancelled, so its step must not run either.
void PeerLink::cancelTimer()
{
    ++m_timerRun;
    m_timer.cancel();
}

void PeerLink::connect()
{
    if (m_isStopped)
        return;
    const auto endpoint = parseNumericAddress(m_peer.address);
    if (!endpoint) {
        logEvent(LogLevel::Error, "link_bad_address", { { "peer", m_peer.daemon }, { "address", m_peer.address } });
        return;
    }
    m_connecting = std::make_shared<asio::ip::tcp::socket>(m_strand);
    after(m_context.settings.handshakeTimeout, &PeerLink::giveUpConnect);
    m_connecting->async_connect(*endpoint, [self = shared_from_this(), socket = m_connecting](asio::error_code ec) {
        // A connect that was given up is followed by another one.
        if (self->m_connecting != socket || self->m_isStopped)
            return;
        self->m_connecting = nullptr;
        if (ec)
            return self->failConnect(ec);
        self->openStream(std::move(*socket));
    });
}

void PeerLink::giveUpConnect()
{
    if (!m_connecting)
        return;
    asio::error_code ec;
    m_connecting->close(ec);
    m_connecting = nullptr;
    failConnect(asio::error::timed_out);
}

void PeerLink::failConnect(asio::error_code ec)
{
    // Only a refusal proves that no process listens there. Time-outs and unreachable networks prove nothing.
    if (ec == asio::error::connection_refused) {
        ++m_context.counters.connectAttemptsRefused;
        setStatus(PeerStatus::Refused);
    } else {
        setStatus(PeerStatus::Unreachable);
    }
    retry();
}

void PeerLink::openStream(asio::ip::tcp::socket socket)
{
    m_stream = std::make_shared<FramedSocket>(std::move(socket), m_context);
    after(m_context.settings.handshakeTimeout, &PeerLink::giveUpHandshake);
    // The stream is owned by the link, so its handlers must not own the link.
    const std::weak_ptr<PeerLink> weak = shared_from_this();
    m_stream->start(
        [weak](std::string_view frame) {
            const auto self = weak.lock();
            return self && self->handle(frame);
        },
        [weak](CloseReason reason) {
            if (const auto self = weak.lock())
                self->end(reason);
        });
    (void)m_stream->send(helloFrame(m_context, HelloKind::Handshake));
}

void PeerLink::giveUpHandshake()
{
    ++m_context.counters.handshakeTimeouts;
    m_stream->close(CloseReason::Local);
}

bool PeerLink::handle(std::string_view frame)
{
    const auto message = decodeMessage(frame);
    if (!message && message.error() == FrameError::UnknownMessage) {
        ++m_context.counters.unknownMessages;
        return true;
    }
    // The accepting side sends nothing but Hello messages.
    if (!message || message->body.type != schema::LinkBody::Hello)
        return false;
    if (m_status == PeerStatus::Connected)
        m_unansweredProbes = 0;
    else
        acceptHello(*message->body.AsHello());
    return true;
}

void PeerLink::acceptHello(const schema::HelloT& hello)
{
    if (!equalKeys(m_context.settings.key, hello.key)) {
        ++m_context.counters.wrongKeys;
        logEvent(LogLevel::Warning, "link_wrong_key", { { "remote", m_peer.address }, { "peer", m_peer.daemon } });
        return m_stream->close(CloseReason::Local);
    }
    if (DaemonId(hello.daemon) != m_peer.daemon || Incarnation(hello.incarnation) != m_peer.incarnation) {
        setStatus(PeerStatus::Replaced);
        m_backoff = m_context.settings.maxBackoff;
        return m_stream->close(CloseReason::Local);
    }
    ++m_context.counters.connectionsOpened;
    m_backoff = m_context.settings.minBackoff;
    m_unansweredProbes = 0;
    m_connectedAt = m_context.clock.now();
    {
        const std::scoped_lock lock(m_mutex);
        m_ready = m_stream;
    }
    setStatus(PeerStatus::Connected);
    after(m_context.settings.probeInterval, &PeerLink::probe);
}

void PeerLink::probe()
{
    // Counts probes rather than time, so that a pause of the own process is not taken for silence of all peers.
    if (m_unansweredProbes >= m_context.settings.probeLimit) {
        ++m_context.counters.silentPeers;
        return m_stream->close(CloseReason::Local);
    }
    ++m_unansweredProbes;
    (void)m_stream->send(helloFrame(m_context, HelloKind::Probe));
    after(m_context.settings.probeInterval, &PeerLink::probe);
}

void PeerLink::end(CloseReason reason)
{
    cancelTimer();
    m_stream = nullptr;
    {
        const std::scoped_lock lock(m_mutex);
        m_ready = nullptr;
    }
    if (m_status == PeerStatus::Connected) {
        ++m_context.counters.connectionsLost;
        const auto lasted = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - m_connectedAt);
        logEvent(
            LogLevel::Info, "link_lost", { { "peer", m_peer.daemon }, { "reason", toString(reason) }, { "connected_ms", lasted.count() } });
    }
    if (m_isStopped)
        return;
    setStatus(PeerStatus::Unreachable);
    retry();
}

void PeerLink::retry()
{
    if (m_isStopped)
        return;
    // Half of the delay is random, so that daemons do not reconnect to a restarted peer at the same moment.
    const auto half = m_backoff.count() / 2;
    const Milliseconds delay(half + static_cast<Milliseconds::rep>(m_random.below(static_cast<std::uint64_t>(half) + 1)));
    m_backoff = std::min(2 * m_backoff, m_context.settings.maxBackoff);
    after(delay, &PeerLink::connect);
}

void PeerLink::setStatus(PeerStatus status)
{
    const auto previous = m_status.load();
    // An incarnation that is gone does not come back, so later silence at its address takes nothing back.
    if (status == previous || (status == PeerStatus::Unreachable && provesGone(previous)))
        return;
    m_status = status;
    logEvent(LogLevel::Info, "link_status",
        { { "peer", m_peer.daemon }, { "incarnation", m_peer.incarnation }, { "status", toString(status) } });
    if (m_context.isStopping)
        return;
    std::ranges::for_each(m_context.statusHandlers, [&](const auto& handler) { handler(m_peer, status); });
}

} // namespace kingcuploom::link
