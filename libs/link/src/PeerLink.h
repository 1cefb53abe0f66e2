#pragma once

#include "FramedSocket.h"
#include "base/Random.h"

namespace kingcuploom::link {

// Outgoing connection to one incarnation of a peer: connects, checks who answers, probes, and reconnects with backoff. Its work
// runs on one strand; send() and status() are thread-safe.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    PeerLink(asio::io_context&, Peer, HubContext&);

    void start();
    void stop();

    const Peer& peer() const { return m_peer; }
    PeerStatus status() const { return m_status; }
    Expected<void, LinkError> send(std::string frame);

private:
    void connect();
    void failConnect(asio::error_code);
    void openStream(asio::ip::tcp::socket);
    bool handle(std::string_view frame);
    void acceptHello(const schema::HelloT&);
    void probe();
    void end(CloseReason);
    void retry();
    void setStatus(PeerStatus);
    void after(Milliseconds, void (PeerLink::*)());
    void cancelTimer();
    void giveUpHandshake();
    void giveUpConnect();

    asio::strand<asio::io_context::executor_type> m_strand;
    const Peer m_peer;
    HubContext& m_context;
    asio::steady_timer m_timer;
    // Number of the wait in progress; an earlier one has no effect.
    std::uint64_t m_timerRun = 0;
    Random m_random;
    std::shared_ptr<asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<FramedSocket> m_stream;
    MonotonicTime m_connectedAt {};
    Milliseconds m_backoff;
    int m_unansweredProbes = 0;
    bool m_isStopped = false;
    std::atomic<PeerStatus> m_status = PeerStatus::Unknown;

    // Guards m_ready, the stream that send() uses; set only while connected.
    std::mutex m_mutex;
    std::shared_ptr<FramedSocket> m_ready;
};

} // namespace kingcuploom::link
