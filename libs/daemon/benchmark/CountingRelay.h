#pragma once

#include <array>
#include <asio.hpp>
#include <atomic>
#include <thread>

namespace kingcuploom::capacity {

// Passes one connection on loopback on to a port and counts its bytes in both directions, protocol overhead of HTTP included.
class CountingRelay {
public:
    explicit CountingRelay(std::uint16_t targetPort);
    ~CountingRelay();
    CountingRelay(const CountingRelay&) = delete;
    CountingRelay& operator=(const CountingRelay&) = delete;

    std::uint16_t port() const { return m_port; }
    std::size_t bytesToTarget() const { return m_toTarget; }
    std::size_t bytesFromTarget() const { return m_fromTarget; }

private:
    using Socket = asio::ip::tcp::socket;

    struct Direction {
        Socket& from;
        Socket& to;
        std::atomic<std::size_t>& count;
        std::array<char, 65536> buf {};
    };

    void pump(Direction&);

    asio::io_context m_context;
    Socket m_client { m_context };
    Socket m_target { m_context };
    std::atomic<std::size_t> m_toTarget = 0;
    std::atomic<std::size_t> m_fromTarget = 0;
    Direction m_forward { m_client, m_target, m_toTarget };
    Direction m_backward { m_target, m_client, m_fromTarget };
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::thread m_thread;
};

} // namespace kingcuploom::capacity
