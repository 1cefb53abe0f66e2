#include "link/LinkHub.h"

#include "InboundSession.h"
#include "NumericAddress.h"
#include "PeerLink.h"
#include "base/EventLoop.h"
#include "base/Log.h"

#include <set>
#include <shared_mutex>
#include <thread>

namespace kingcuploom::link {

namespace {

    // Two threads keep one long message from delaying the probes of all other peers.
    constexpr int threadCount = 2;
    // Bounds the memory of connections that have not proven the key yet.
    constexpr std::size_t maxInboundSessions = 1024;
    // After a failed accept, for example without free descriptors.
    constexpr Milliseconds acceptRetryDelay { 100 };

} // namespace

const char* toString(PeerStatus status)
{
    switch (status) {
    case PeerStatus::Unknown:
        return "unknown";
    case PeerStatus::Connected:
        return "connected";
    case PeerStatus::Unreachable:
        return "unreachable";
    case PeerStatus::Refused:
        return "refused";
    case PeerStatus::Replaced:
        return "replaced";
    }
    return "unknown";
}

struct LinkHub::State {
    State(HubSettings settings, const Clock& clock)
        : context { std::move(settings), clock, {}, {}, {}, {} }
    {
    }

    Expected<std::uint16_t, LinkError> listen();
    void accept();
    void addSession(asio::ip::tcp::socket);
    void endSession(const InboundSession&);
    void closeAll();
    std::vector<std::shared_ptr<PeerLink>> replacePeers(const std::vector<Peer>&);

    HubContext context;
    asio::io_context io { threadCount };
    asio::executor_work_guard<asio::io_context::executor_type> work { io.get_executor() };
    asio::ip::tcp::acceptor acceptor { asio::make_strand(io) };
    asio::steady_timer acceptTimer { acceptor.get_executor() };
    std::vector<std::thread> threads;

    // Guards the members below.
    mutable std::shared_mutex mutex;
    std::map<Peer, std::shared_ptr<PeerLink>> links;
    std::map<DaemonId, std::shared_ptr<PeerLink>> current;
    std::map<const InboundSession*, std::shared_ptr<InboundSession>> sessions;
    bool isStopped = false;
};

Expected<std::uint16_t, LinkError> LinkHub::State::listen()
{
    const LinkError failure { LinkErrorCode::CannotListen };
    asio::error_code ec;
    const auto host = asio::ip::make_address(context.settings.host, ec);
    if (ec)
        return makeUnexpected(failure);
    const asio::ip::tcp::endpoint endpoint(host, context.settings.port);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        logEvent(LogLevel::Error, "link_cannot_listen", { { "host", context.settings.host }, { "error", ec.message() } });
        return makeUnexpected(failure);
    }
    const auto& advertised = context.settings.advertisedAddress;
    context.ownAddress = advertised.empty() ? toAddress(acceptor.local_endpoint()) : advertised;
    return acceptor.local_endpoint().port();
}

void LinkHub::State::accept()
{
    acceptor.async_accept(asio::make_strand(io), [this](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !acceptor.is_open())
            return;
        if (!ec) {
            addSession(std::move(socket));
            return accept();
        }
        logEvent(LogLevel::Warning, "link_accept_failed", { { "error", ec.message() } });
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([this](asio::error_code timerError) {
            if (!timerError)
                accept();
        });
    });
}

void LinkHub::State::addSession(asio::ip::tcp::socket socket)
{
    const std::scoped_lock lock(mutex);
    if (isStopped || sessions.size() >= maxInboundSessions)
        return;
    ++context.counters.connectionsAccepted;
    const auto session
        = std::make_shared<InboundSession>(std::move(socket), context, [this](const InboundSession& ended) { endSession(ended); });
    sessions.emplace(session.get(), session);
    session->start();
}

void LinkHub::State::endSession(const InboundSession& session)
{
    const std::scoped_lock lock(mutex);
    sessions.erase(&session);
}

void LinkHub::State::closeAll()
{
    asio::error_code ec;
    acceptor.close(ec);
    {
        const std::scoped_lock lock(mutex);
        std::ranges::for_each(links, [](const auto& entry) { entry.second->stop(); });
        std::ranges::for_each(sessions, [](const auto& entry) { entry.second->stop(); });
        links.clear();
        current.clear();
    }
    io.restart();
    io.poll();
}

std::vector<std::shared_ptr<PeerLink>> LinkHub::State::replacePeers(const std::vector<Peer>& peers)
{
    auto previous = std::exchange(links, {});
    current.clear();
    for (const auto& peer : peers) {
        if (peer.daemon == context.settings.self && peer.incarnation == context.settings.incarnation)
            continue;
        auto node = previous.extract(peer);
        const bool isNew = node.empty();
        const auto link = isNew ? std::make_shared<PeerLink>(io, peer, context) : node.mapped();
        if (!links.emplace(peer, link).second)
            continue;
        current.emplace(peer.daemon, link);
        if (isNew)
            link->start();
    }
    std::vector<std::shared_ptr<PeerLink>> removed;
    std::ranges::transform(previous, std::back_inserter(removed), [](const auto& entry) { return entry.second; });
    return removed;
}

LinkHub::LinkHub(HubSettings settings, const Clock& clock)
    : m_state(std::make_unique<State>(std::move(settings), clock))
{
}

LinkHub::~LinkHub() { stop(); }

void LinkHub::onMessage(schema::LinkBody type, MessageHandler handler)
{
    m_state->context.messageHandlers[type].push_back(std::move(handler));
}

void LinkHub::onStatus(StatusHandler handler) { m_state->context.statusHandlers.push_back(std::move(handler)); }

Expected<std::uint16_t, LinkError> LinkHub::start()
{
    const auto port = m_state->listen();
    if (!port)
        return port;
    m_state->accept();
    for (int i = 0; i < threadCount; ++i)
        m_state->threads.emplace_back([this] {
            runEventLoop(m_state->io, [](const std::exception& error) {
                logEvent(LogLevel::Error, "link_handler_failed", { { "error", error.what() } });
            });
        });
    return port;
}

void LinkHub::stop()
{
    {
        const std::scoped_lock lock(m_state->mutex);
        if (std::exchange(m_state->isStopped, true))
            return;
    }
    // Stops the threads first, so that no callback runs any more while connections are closed.
    m_state->context.isStopping = true;
    m_state->io.stop();
    std::ranges::for_each(m_state->threads, [](std::thread& thread) { thread.join(); });
    m_state->closeAll();
}

void LinkHub::setPeers(const std::vector<Peer>& peers)
{
    const std::scoped_lock lock(m_state->mutex);
    if (m_state->isStopped)
        return;
    const auto removed = m_state->replacePeers(peers);
    std::ranges::for_each(removed, [](const auto& link) { link->stop(); });
}

Expected<void, LinkError> LinkHub::send(const DaemonId& daemon, const schema::LinkMessageT& message)
{
    std::shared_ptr<PeerLink> link;
    {
        const std::shared_lock lock(m_state->mutex);
        const auto it = m_state->current.find(daemon);
        if (it == m_state->current.end())
            return makeUnexpected(LinkError { LinkErrorCode::NotConnected });
        link = it->second;
    }
    auto frame = encodeFrame(message);
    if (!frame)
        return makeUnexpected(LinkError { LinkErrorCode::FrameTooLarge });
    return link->send(std::move(*frame));
}

PeerStatus LinkHub::status(const DaemonId& daemon) const
{
    const std::shared_lock lock(m_state->mutex);
    const auto it = m_state->current.find(daemon);
    return it == m_state->current.end() ? PeerStatus::Unknown : it->second->status();
}

Incarnation LinkHub::incarnation() const { return m_state->context.settings.incarnation; }

LinkStatistics LinkHub::statistics() const { return m_state->context.counters.snapshot(); }

} // namespace kingcuploom::link
