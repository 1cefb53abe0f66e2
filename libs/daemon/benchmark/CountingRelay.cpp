#include "CountingRelay.h"

namespace kingcuploom::capacity {

namespace {

    asio::ip::tcp::endpoint loopback(std::uint16_t port) { return { asio::ip::address_v4::loopback(), port }; }

} // namespace

CountingRelay::CountingRelay(std::uint16_t targetPort)
    : m_acceptor(m_context, loopback(0))
    , m_port(m_acceptor.local_endpoint().port())
{
    m_acceptor.async_accept(m_client, [this, targetPort](const std::error_code& ec) {
        if (ec)
            return;
        m_target.connect(loopback(targetPort));
        pump(m_forward);
        pump(m_backward);
    });
    m_thread = std::thread([this] { m_context.run(); });
}

CountingRelay::~CountingRelay()
{
    m_context.stop();
    m_thread.join();
}

void CountingRelay::pump(Direction& direction)
{
    direction.from.async_read_some(asio::buffer(direction.buf), [this, &direction](const std::error_code& ec, std::size_t n) {
        if (ec)
            return;
        direction.count += n;
        std::error_code writeError;
        asio::write(direction.to, asio::buffer(direction.buf.data(), n), writeError);
        if (!writeError)
            pump(direction);
    });
}

} // namespace kingcuploom::capacity
