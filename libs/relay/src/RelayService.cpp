#include "relay/RelayService.h"

#include "base/Log.h"

namespace kingcuploom::relay {

namespace {

    // Probes cost a leader two frames for each relay; orders without results show a silent one earlier.
    constexpr Milliseconds probeInterval { 1000 };
    constexpr int probeLimit = 3;

} // namespace

RelayService::RelayService(
    boost::asio::io_context& loop, const Clock& clock, node::AsyncStore& store, node::WorkerCalls& direct, RelaySettings settings)
    : m_settings(std::move(settings))
    , m_transport(loop, clock, makeHandlers())
    , m_server(loop, clock, direct, m_transport)
    , m_calls(loop, clock, direct, m_transport, makeCallsSettings())
    , m_registry(std::make_shared<RelayRegistry>(loop, store, clock, makeRegistryCallbacks()))
{
}

HubHandlers RelayService::makeHandlers()
{
    HubHandlers handlers;
    handlers.onOrders = [this](const auto& from, const auto& orders) { m_server.onOrders(from, orders); };
    handlers.onResults = [this](const auto& from, const auto& results) { m_calls.onResults(from, results); };
    handlers.onStatus = [this](const auto& peer, auto status) { m_calls.onStatus(peer, status); };
    return handlers;
}

RegistryCallbacks RelayService::makeRegistryCallbacks()
{
    RegistryCallbacks callbacks;
    callbacks.onLinkKey = [this](const std::string& key) { onLinkKey(key); };
    callbacks.onMembers = [this](const auto& members) { m_calls.setMembers(members); };
    return callbacks;
}

RelayedCallsSettings RelayService::makeCallsSettings()
{
    RelayedCallsSettings settings;
    settings.self = m_settings.node;
    settings.linkMbps = m_settings.linkMbps;
    settings.firstSession = m_settings.incarnation.value();
    settings.onTerm = [this](bool isLeading) { m_registry->setWatching(isLeading); };
    return settings;
}

void RelayService::start() { m_registry->readLinkKey(); }

void RelayService::leave() { m_registry->leave(); }

void RelayService::onLinkKey(const std::string& key)
{
    link::HubSettings hub;
    hub.self = m_settings.node;
    hub.incarnation = m_settings.incarnation;
    hub.host = m_settings.host;
    hub.port = m_settings.port;
    hub.key = key;
    hub.probeInterval = probeInterval;
    hub.probeLimit = probeLimit;
    const auto port = m_transport.start(std::move(hub));
    if (!port) {
        logEvent(LogLevel::Error, "relay_cannot_listen", { { "host", m_settings.host }, { "port", m_settings.port } });
        return;
    }
    Member self { m_settings.node, m_settings.incarnation, Address(m_settings.host + ':' + std::to_string(*port)), m_settings.domain,
        m_settings.processorShare, m_settings.linkMbps, true, true };
    m_registry->join(self);
}

} // namespace kingcuploom::relay
