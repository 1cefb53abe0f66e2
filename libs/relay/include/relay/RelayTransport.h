#pragma once

#include "link/LinkHub.h"

namespace kingcuploom::relay {

// Connections between a leader and its relays. All methods and handlers run on the event loop's thread.
class RelayTransport {
public:
    virtual ~RelayTransport() = default;

    // Sets the relays of the own term to connect to.
    virtual void setRelays(const std::vector<link::Peer>&) = 0;
    // Sets the leader whose orders the own node carries out.
    virtual void setLeader(const link::Peer&) = 0;
    // Returns false if there is no connection to the node; nothing was sent then.
    virtual bool send(const DaemonId&, const schema::LinkMessageT&) = 0;
    virtual bool isConnected(const DaemonId&) const = 0;
};

} // namespace kingcuploom::relay
