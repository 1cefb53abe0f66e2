#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace kingcuploom::scenario {

// Kind of the relayed connections.
enum class RelayKind {
    // Not parsed. The relay can only block all connections together.
    Any,
    // Links between daemons. The first frame names the sender, so the relay can block a single sender.
    DaemonLink,
};

// TCP relay between two processes of a scenario. While blocked, it forwards no data, like a network that drops packets: neither side
// sees a refused or closed connection.
class Relay {
public:
    Relay(RelayKind, std::uint16_t targetPort);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    std::uint16_t port() const { return m_port; }
    // Lets a relay start before its target. Until a target port is set, the relay closes new connections immediately.
    void setTarget(std::uint16_t targetPort) { m_targetPort = targetPort; }
    // Block or unblock the connections of one sender, or of all senders if the name is empty.
    void block(const std::string& sender);
    void unblock(const std::string& sender);

private:
    void acceptConnections();
    void handleConnection(int client);
    void copyStream(int from, int to, const std::string& sender);
    bool waitForData(int fd) const;
    std::string peekSender(int client) const;
    bool isBlocked(const std::string& sender) const;

    const RelayKind m_kind;
    std::atomic<std::uint16_t> m_targetPort;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_isStopping = false;

    // Guards the members below.
    mutable std::mutex m_mutex;
    std::set<std::string> m_blockedSenders;
    std::list<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace kingcuploom::scenario
