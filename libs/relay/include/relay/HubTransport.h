#pragma once

#include "relay/RelayTransport.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace kingcuploom::relay {

struct HubHandlers {
    std::function<void(const link::Peer& from, const schema::RelayOrdersT&)> onOrders;
    std::function<void(const link::Peer& from, const schema::RelayResultsT&)> onResults;
    std::function<void(const link::Peer&, link::PeerStatus)> onStatus;
};

// Transport over the framed, authenticated links between daemons. Hands all events over to the event loop.
class HubTransport final : public RelayTransport {
public:
    HubTransport(boost::asio::io_context&, const Clock&, HubHandlers);
    ~HubTransport() override;

    // Listens with these settings.
    Expected<std::uint16_t, link::LinkError> start(link::HubSettings);
    void stop();

    void setRelays(const std::vector<link::Peer>&) override;
    void setLeader(const link::Peer&) override;
    bool send(const DaemonId&, const schema::LinkMessageT&) override;
    bool isConnected(const DaemonId&) const override;

private:
    void updatePeers();

    boost::asio::io_context& m_loop;
    const Clock& m_clock;
    std::shared_ptr<const HubHandlers> m_handlers;
    std::unique_ptr<link::LinkHub> m_hub;
    std::vector<link::Peer> m_relays;
    std::optional<link::Peer> m_leader;
};

} // namespace kingcuploom::relay
