#pragma once

#include "FrameCodec.h"
#include "HubContext.h"

#include <asio.hpp>
#include <deque>
#include <mutex>

namespace kingcuploom::link {

enum class CloseReason {
    Local,
    ConnectionLost,
    BrokenFrame,
    OversizedFrame,
};

const char* toString(CloseReason);

// One TCP connection that carries frames, with a bounded send queue. The socket's executor is a strand: start(), close() and the
// handlers run on it. send() is thread-safe.
class FramedSocket : public std::enable_shared_from_this<FramedSocket> {
public:
    // Returns false to close the connection because of a broken message.
    using FrameHandler = std::function<bool(std::string_view)>;
    using CloseHandler = std::function<void(CloseReason)>;

    FramedSocket(asio::ip::tcp::socket, HubContext&);

    // Frames are limited to the size of a Hello until allowLargeFrames().
    void start(FrameHandler, CloseHandler);
    void allowLargeFrames() { m_buffer.setLimit(maxFrameBytes); }

    Expected<void, LinkError> send(std::string frame);

    // Calls the close handler unless the connection was closed before.
    void close(CloseReason);

private:
    void read();
    void receive(std::size_t size);
    void write();
    void finishWrite(std::size_t size);

    asio::ip::tcp::socket m_socket;
    HubContext& m_context;
    FrameBuffer m_buffer;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    std::vector<std::string> m_inFlight;

    // Guards the members below.
    std::mutex m_mutex;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_isWriting = false;
    bool m_isClosed = false;
};

} // namespace kingcuploom::link
