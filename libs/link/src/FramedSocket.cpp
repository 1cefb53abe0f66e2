#include "FramedSocket.h"

namespace kingcuploom::link {

namespace {

    constexpr std::size_t readBytes = 64 * 1024;
    // Large enough for a Hello; bounds what a connection without the key can make the receiver allocate.
    constexpr std::uint32_t maxHelloBytes = 4 * 1024;
    // Memory of a queued frame beside its bytes.
    constexpr std::size_t frameOverheadBytes = 64;
    // Frames handed to one write call.
    constexpr std::size_t maxFramesPerWrite = 64;

    std::size_t queueCost(const std::string& frame) { return frame.size() + frameOverheadBytes; }

} // namespace

const char* toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Local:
        return "local";
    case CloseReason::ConnectionLost:
        return "connection_lost";
    case CloseReason::BrokenFrame:
        return "broken_frame";
    case CloseReason::OversizedFrame:
        return "oversized_frame";
    }
    return "unknown";
}

FramedSocket::FramedSocket(asio::ip::tcp::socket socket, HubContext& context)
    : m_socket(std::move(socket))
    , m_context(context)
    , m_buffer(maxHelloBytes)
{
}

void FramedSocket::start(FrameHandler onFrame, CloseHandler onClose)
{
    m_onFrame = std::move(onFrame);
    m_onClose = std::move(onClose);
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_socket.set_option(asio::socket_base::keep_alive(true), ec);
    read();
}

Expected<void, LinkError> FramedSocket::send(std::string frame)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isClosed)
            return makeUnexpected(LinkError { LinkErrorCode::NotConnected });
        if (m_queuedBytes > 0 && m_queuedBytes + queueCost(frame) > m_context.settings.maxQueuedBytes) {
            ++m_context.counters.sendQueueFull;
            return makeUnexpected(LinkError { LinkErrorCode::QueueFull });
        }
        m_queuedBytes += queueCost(frame);
        m_queue.push_back(std::move(frame));
        if (std::exchange(m_isWriting, true))
            return {};
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->write(); });
    return {};
}

void FramedSocket::close(CloseReason reason)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (std::exchange(m_isClosed, true))
            return;
        m_queue.clear();
    }
    if (reason == CloseReason::BrokenFrame)
        ++m_context.counters.brokenFrames;
    if (reason == CloseReason::OversizedFrame)
        ++m_context.counters.oversizedFrames;
    asio::error_code ec;
    m_socket.close(ec);
    if (m_onClose)
        m_onClose(reason);
}

void FramedSocket::read()
{
    const auto space = m_buffer.prepare(readBytes);
    m_socket.async_read_some(asio::buffer(space.data(), space.size()), [self = shared_from_this()](asio::error_code ec, std::size_t size) {
        if (ec)
            return self->close(CloseReason::ConnectionLost);
        self->receive(size);
    });
}

void FramedSocket::receive(std::size_t size)
{
    m_context.counters.bytesReceived += size;
    m_buffer.commit(size);
    while (m_socket.is_open()) {
        const auto frame = m_buffer.next();
        if (!frame)
            return close(CloseReason::OversizedFrame);
        if (!*frame)
            return read();
        ++m_context.counters.framesReceived;
        if (!m_onFrame(**frame))
            return close(CloseReason::BrokenFrame);
    }
}

void FramedSocket::write()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_inFlight.clear();
        while (!m_queue.empty() && m_inFlight.size() < maxFramesPerWrite) {
            m_inFlight.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
        if (m_isClosed || m_inFlight.empty()) {
            m_isWriting = false;
            return;
        }
    }
    std::vector<asio::const_buffer> buffers;
    std::ranges::transform(m_inFlight, std::back_inserter(buffers), [](const std::string& frame) { return asio::buffer(frame); });
    asio::async_write(m_socket, buffers, [self = shared_from_this()](asio::error_code ec, std::size_t size) {
        if (ec)
            return self->close(CloseReason::ConnectionLost);
        self->finishWrite(size);
    });
}

void FramedSocket::finishWrite(std::size_t size)
{
    m_context.counters.bytesSent += size;
    m_context.counters.framesSent += m_inFlight.size();
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& frame : m_inFlight)
            m_queuedBytes -= queueCost(frame);
    }
    write();
}

} // namespace kingcuploom::link
