#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/Ids.h"
#include "link/LinkStatistics.h"
#include "schema/generated/link_generated.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuploom::link {

// Largest frame in bytes, length prefix excluded.
inline constexpr std::uint32_t maxFrameBytes = 4 * 1024 * 1024;

enum class LinkErrorCode {
    // No byte was handed to the socket.
    NotConnected,
    // The peer reads too slowly. No byte was handed to the socket.
    QueueFull,
    FrameTooLarge,
    CannotListen,
};

struct LinkError {
    LinkErrorCode code;
};

// What the transport knows of a peer.
enum class PeerStatus {
    Unknown,
    Connected,
    // No answer: frozen, cut off or slow. Proves nothing.
    Unreachable,
    // The address refused the connection: the process with the known incarnation is gone.
    Refused,
    // A process with another incarnation answered at the address: the known one is gone.
    Replaced,
};

const char* toString(PeerStatus);

struct Peer {
    DaemonId daemon;
    Incarnation incarnation;
    Address address;

    auto operator<=>(const Peer&) const = default;
};

struct HubSettings {
    DaemonId self;
    Incarnation incarnation;
    std::string host;
    std::uint16_t port = 0;
    std::string key;
    // Told to peers in place of the address listened on; empty: that address.
    Address advertisedAddress {};
    // Time for connecting and for the exchange of Hello messages, each.
    Milliseconds handshakeTimeout { 1000 };
    // A connected peer is probed at this interval and given up after "probeLimit" probes without an answer.
    Milliseconds probeInterval { 250 };
    int probeLimit = 6;
    Milliseconds minBackoff { 20 };
    Milliseconds maxBackoff { 1000 };
    // Bound of the messages waiting for one peer. A single larger frame is accepted by an empty queue.
    std::size_t maxQueuedBytes = 16 * 1024 * 1024;
};

// Connections between daemons: one outgoing connection per peer, reconnected with backoff. Messages of one peer arrive in
// order. Thread-safe; callbacks run on the hub's threads and must not block.
class LinkHub {
public:
    using MessageHandler = std::function<void(const Peer& from, const schema::LinkMessageT&)>;
    using StatusHandler = std::function<void(const Peer&, PeerStatus)>;

    LinkHub(HubSettings, const Clock&);
    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    // Before start(). Several handlers may be added; a handler added twice is called twice.
    void onMessage(schema::LinkBody, MessageHandler);
    void onStatus(StatusHandler);

    // Returns the port that it listens on.
    Expected<std::uint16_t, LinkError> start();

    // Closes all connections and the listener, so that peers see "refused" from here on. Not from a callback.
    void stop();

    // Peers to keep connections to; replaces the previous set, and the own incarnation is skipped. Several incarnations of one
    // daemon may be listed: send() and status() mean the first one, the others are only observed.
    void setPeers(const std::vector<Peer>&);

    // Queues the message on the peer's connection. Success says nothing about arrival.
    Expected<void, LinkError> send(const DaemonId&, const schema::LinkMessageT&);

    PeerStatus status(const DaemonId&) const;

    // Of this process, as given in the settings.
    Incarnation incarnation() const;

    LinkStatistics statistics() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom::link
