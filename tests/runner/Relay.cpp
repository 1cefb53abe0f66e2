#include "Relay.h"

#include "schema/RecordCodec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace kingcuploom::scenario {

namespace {

    constexpr int pollIntervalMs = 20;
    constexpr int listenBacklog = 128;
    // Little-endian length before each frame of a daemon link.
    constexpr std::size_t framePrefixBytes = 4;

    sockaddr_in loopbackAddress(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    bool sendAll(int fd, const char* data, ssize_t size)
    {
        while (size > 0) {
            const auto n = send(fd, data, static_cast<std::size_t>(size), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            data += n;
            size -= n;
        }
        return true;
    }

} // namespace

Relay::Relay(RelayKind kind, std::uint16_t targetPort)
    : m_kind(kind)
    , m_targetPort(targetPort)
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopbackAddress(0);
    socklen_t size = sizeof(address);
    const bool isListening = bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0 && listen(m_listener, listenBacklog) == 0
        && getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!isListening)
        std::perror("relay cannot listen");
    m_port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] { acceptConnections(); });
}

Relay::~Relay()
{
    m_isStopping = true;
    m_acceptThread.join();
    for (auto& thread : m_threads)
        thread.join();
    close(m_listener);
}

void Relay::block(const std::string& sender)
{
    const std::scoped_lock lock(m_mutex);
    m_blockedSenders.insert(sender);
}

void Relay::unblock(const std::string& sender)
{
    const std::scoped_lock lock(m_mutex);
    m_blockedSenders.erase(sender);
}

bool Relay::isBlocked(const std::string& sender) const
{
    const std::scoped_lock lock(m_mutex);
    return m_blockedSenders.contains({}) || m_blockedSenders.contains(sender);
}

// Reads the daemon name from the Hello message without consuming it. Returns an empty name if the connection closes first or the
// first frame is not a Hello.
std::string Relay::peekSender(int client) const
{
    std::array<char, 4096> buf {};
    while (!m_isStopping) {
        const auto n = recv(client, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
        if (n == 0)
            return {};
        const auto size = static_cast<std::size_t>(std::max<ssize_t>(n, 0));
        std::uint32_t length = 0;
        if (size >= framePrefixBytes)
            std::memcpy(&length, buf.data(), framePrefixBytes);
        if (size > framePrefixBytes && size >= framePrefixBytes + length) {
            const auto message = schema::decode<schema::LinkMessageT>({ buf.data() + framePrefixBytes, length });
            return message && message->body.AsHello() ? message->body.AsHello()->daemon : std::string();
        }
        usleep(1000);
    }
    return {};
}

bool Relay::waitForData(int fd) const
{
    pollfd entry { fd, POLLIN, 0 };
    return poll(&entry, 1, pollIntervalMs) > 0;
}

void Relay::acceptConnections()
{
    while (!m_isStopping) {
        if (!waitForData(m_listener))
            continue;
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        const std::scoped_lock lock(m_mutex);
        m_threads.emplace_back([this, client] { handleConnection(client); });
    }
}

void Relay::handleConnection(int client)
{
    const auto sender = m_kind == RelayKind::DaemonLink ? peekSender(client) : std::string();
    while (isBlocked(sender) && !m_isStopping)
        usleep(pollIntervalMs * 1000);
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopbackAddress(m_targetPort);
    if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        const int on = 1;
        setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread responseThread([&] { copyStream(server, client, sender); });
        copyStream(client, server, sender);
        responseThread.join();
    }
    close(server);
    close(client);
}

void Relay::copyStream(int from, int to, const std::string& sender)
{
    std::array<char, 16384> buf {};
    while (!m_isStopping) {
        if (isBlocked(sender)) {
            usleep(pollIntervalMs * 1000);
            continue;
        }
        if (!waitForData(from))
            continue;
        const auto n = recv(from, buf.data(), buf.size(), 0);
        if (n <= 0 || !sendAll(to, buf.data(), n))
            break;
    }
    shutdown(from, SHUT_RD);
    shutdown(to, SHUT_WR);
}

} // namespace kingcuploom::scenario
