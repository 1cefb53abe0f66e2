#include "relay/HubTransport.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace kingcuploom::relay {

HubTransport::HubTransport(boost::asio::io_context& loop, const Clock& clock, HubHandlers handlers)
    : m_loop(loop)
    , m_clock(clock)
    , m_handlers(std::make_shared<const HubHandlers>(std::move(handlers)))
{
}

HubTransport::~HubTransport() { stop(); }

Expected<std::uint16_t, link::LinkError> HubTransport::start(link::HubSettings settings)
{
    m_hub = std::make_unique<link::LinkHub>(std::move(settings), m_clock);
    m_hub->onMessage(schema::LinkBody::RelayOrders, [this](const link::Peer& from, const schema::LinkMessageT& message) {
        boost::asio::post(m_loop, [handlers = m_handlers, from, orders = std::make_shared<schema::LinkMessageT>(message)] {
            handlers->onOrders(from, *orders->body.AsRelayOrders());
        });
    });
    m_hub->onMessage(schema::LinkBody::RelayResults, [this](const link::Peer& from, const schema::LinkMessageT& message) {
        boost::asio::post(m_loop, [handlers = m_handlers, from, results = std::make_shared<schema::LinkMessageT>(message)] {
            handlers->onResults(from, *results->body.AsRelayResults());
        });
    });
    m_hub->onStatus([this](const link::Peer& peer, link::PeerStatus status) {
        boost::asio::post(m_loop, [handlers = m_handlers, peer, status] { handlers->onStatus(peer, status); });
    });
    return m_hub->start();
}

void HubTransport::stop()
{
    if (m_hub)
        m_hub->stop();
}

void HubTransport::setRelays(const std::vector<link::Peer>& relays)
{
    m_relays = relays;
    updatePeers();
}

void HubTransport::setLeader(const link::Peer& leader)
{
    if (m_leader == leader)
        return;
    m_leader = leader;
    updatePeers();
}

void HubTransport::updatePeers()
{
    auto peers = m_relays;
    if (m_leader && std::ranges::find(peers, *m_leader) == peers.end())
        peers.push_back(*m_leader);
    if (m_hub)
        m_hub->setPeers(peers);
}

bool HubTransport::send(const DaemonId& node, const schema::LinkMessageT& message)
{
    return m_hub && m_hub->send(node, message).has_value();
}

bool HubTransport::isConnected(const DaemonId& node) const { return m_hub && m_hub->status(node) == link::PeerStatus::Connected; }

} // namespace kingcuploom::relay
