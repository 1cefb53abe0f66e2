#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace kingcuploom::scenario {

// What a relay has to know of its connections.
enum class RelayProtocol {
    // Any protocol; cut as a whole.
    Any,
    // Links between daemons, whose first frame names the sender; can be cut for one sender.
    DaemonLink,
};

// TCP relay between two processes of a scenario. While cut, it accepts and forwards nothing, as a network that drops packets:
// neither side sees a refused or closed connection.
class Relay {
public:
    Relay(RelayProtocol, std::uint16_t targetPort);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    std::uint16_t port() const { return m_port; }
    // A relay can be started before its target; until this call its connections are closed at once.
    void setTarget(std::uint16_t targetPort) { m_targetPort = targetPort; }
    // For the connections of one sender, or for all with an empty name.
    void block(const std::string& sender);
    void unblock(const std::string& sender);

private:
    void acceptConnections();
    void handleConnection(int client);
    void copyStream(int from, int to, const std::string& sender);
    bool waitForData(int fd) const;
    std::string peekSender(int client) const;
    bool isBlocked(const std::string& sender) const;

    const RelayProtocol m_protocol;
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
