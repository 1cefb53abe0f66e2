#pragma once

#include "relay/HubTransport.h"
#include "relay/RelayRegistry.h"
#include "relay/RelayServer.h"
#include "relay/RelayedCalls.h"

namespace kingcuploom::relay {

struct RelaySettings {
    DaemonId node;
    Incarnation incarnation;
    FailureDomain domain;
    double processorShare = 0;
    double linkMbps = 0;
    // Where the links of other nodes are accepted. With port 0, the system chooses one.
    std::string host;
    std::uint16_t port = 0;
};

// The part of a node that carries orders between leaders and workers: as the leader it sends them through relays, and it is a relay of
// other leaders. Runs on the event loop's thread.
class RelayService {
public:
    // The calls reach workers directly.
    RelayService(boost::asio::io_context&, const Clock&, node::AsyncStore&, node::WorkerCalls&, RelaySettings);

    // Calls of a leader on this node.
    node::WorkerCalls& calls() { return m_calls; }

    void start();
    // Takes the node out of the registered relays; it still carries out orders that arrive.
    void leave();
    void stop() { m_transport.stop(); }

private:
    void onLinkKey(const std::string& key);
    HubHandlers makeHandlers();
    RegistryCallbacks makeRegistryCallbacks();
    RelayedCallsSettings makeCallsSettings();

    RelaySettings m_settings;
    HubTransport m_transport;
    RelayServer m_server;
    RelayedCalls m_calls;
    std::shared_ptr<RelayRegistry> m_registry;
};

} // namespace kingcuploom::relay
