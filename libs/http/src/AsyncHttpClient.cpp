#include "http/AsyncHttpClient.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <linux/sockios.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <vector>

namespace kingcuploom::http {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    using tcp = asio::ip::tcp;
    using BeastRequest = beast::http::request<beast::http::string_body>;
    using BeastParser = beast::http::response_parser<beast::http::string_body>;

    // One timer looks after all calls, because arming a timer for each costs a system call. Deadlines are late by this much at most.
    constexpr Milliseconds sweepInterval { 20 };

    std::optional<tcp::endpoint> endpointOf(const Address& address)
    {
        const auto& text = address.value();
        const auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        boost::system::error_code ec;
        const auto ip = asio::ip::make_address_v4(text.substr(0, colon), ec);
        std::uint16_t port = 0;
        const auto* const textEnd = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data() + colon + 1, textEnd, port);
        if (ec || error != std::errc() || end != textEnd || port == 0)
            return std::nullopt;
        return tcp::endpoint(ip, port);
    }

    BeastRequest requestOf(const AsyncCall& call)
    {
        BeastRequest request(beast::http::string_to_verb(call.method), call.target, 11);
        request.set(beast::http::field::host, call.address.value());
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        if (!call.body.empty()) {
            request.set(beast::http::field::content_type, "application/json");
            request.body() = call.body;
        }
        request.prepare_payload();
        return request;
    }

    MonotonicTime sendDeadlineOf(const AsyncCall& call, MonotonicTime now)
    {
        return call.maxSendDelay ? now + *call.maxSendDelay : MonotonicTime::max();
    }

    Response responseOf(BeastParser& parser)
    {
        auto message = parser.release();
        Response response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        response.body = std::move(message.body());
        return response;
    }

} // namespace

bool isNumericAddress(const Address& address) { return endpointOf(address).has_value(); }

const char* toString(AsyncCallError error)
{
    switch (error) {
    case AsyncCallError::NotSent:
        return "not_sent";
    case AsyncCallError::NotSentInTime:
        return "not_sent_in_time";
    case AsyncCallError::DeliveredUnanswered:
        return "delivered_unanswered";
    case AsyncCallError::NoAnswer:
        break;
    }
    return "no_answer";
}

struct Connection;

namespace {

    struct WaitingCall {
        AsyncCall call;
        AsyncCallback callback;
        MonotonicTime deadline;
        MonotonicTime sendDeadline;
    };

    // Connections to one address.
    struct Peer {
        std::vector<std::shared_ptr<Connection>> idle;
        std::size_t busyCount = 0;
        std::deque<WaitingCall> waiting;
    };

} // namespace

struct AsyncHttpClient::State : std::enable_shared_from_this<State> {
    State(asio::io_context& loop, const Clock& clock, AsyncClientLimits limits)
        : loop(loop)
        , clock(clock)
        , limits(limits)
        , sweepTimer(loop)
    {
    }

    void call(AsyncCall, AsyncCallback);
    void start(Peer&, const AsyncCall&, AsyncCallback);
    void release(const std::shared_ptr<Connection>&, bool isReusable);
    void startWaiting(Peer&);
    void armSweep();
    void sweep();
    void dropLateWaiting(MonotonicTime now);
    // Returns null if there is no usable idle connection. With isRepeat, only connections without a request so far are usable.
    std::shared_ptr<Connection> takeIdle(Peer&, bool isRepeat);
    // Makes room for a new connection by closing an idle one.
    void closeOneIdle(Peer&);

    asio::io_context& loop;
    const Clock& clock;
    AsyncClientLimits limits;
    asio::steady_timer sweepTimer;
    bool isSweepArmed = false;
    std::set<std::shared_ptr<Connection>> busy;
    std::map<Address, Peer> peers;
    std::size_t waitingCount = 0;
};

struct Connection : std::enable_shared_from_this<Connection> {
    Connection(const std::shared_ptr<AsyncHttpClient::State>& owner, Address address)
        : owner(owner)
        , clock(owner->clock)
        , address(std::move(address))
        , socket(owner->loop)
    {
    }

    void start(const AsyncCall&, AsyncCallback);
    void connect();
    void send();
    void receive();
    bool isLate(MonotonicTime now) const;
    bool isTooLateToSend(MonotonicTime now) const { return !isSending && sendDeadline <= now; }
    // The peer's host has acknowledged the whole request.
    bool isDelivered();
    // Lets closing the connection discard what has not been delivered. Otherwise the kernel goes on sending it, for seconds.
    void discardUndelivered();
    // The error of a call that is ended at this time.
    AsyncCallError errorAt(MonotonicTime now);
    void finish(Expected<Response, AsyncCallError>, bool isReusable);

    std::weak_ptr<AsyncHttpClient::State> owner;
    const Clock& clock;
    Address address;
    tcp::socket socket;
    bool isConnected = false;
    bool isSending = false;
    // The whole request has been passed to the socket.
    bool isWritten = false;
    // A request has been sent on this connection.
    bool hasSent = false;
    beast::flat_buffer buffer;
    BeastRequest request;
    std::optional<BeastParser> parser;
    AsyncCallback callback;
    MonotonicTime deadline;
    MonotonicTime sendDeadline;
    MonotonicTime idleSince;
    MonotonicTime connectDeadline;
    // Past its deadline at the last sweep, and not sent since.
    bool isOverdue = false;
};

void Connection::start(const AsyncCall& call, AsyncCallback done)
{
    const auto now = clock.now();
    callback = std::move(done);
    deadline = now + call.timeout;
    sendDeadline = sendDeadlineOf(call, now);
    request = requestOf(call);
    isSending = false;
    isWritten = false;
    isOverdue = false;
    if (isConnected)
        return send();
    if (const auto state = owner.lock())
        connectDeadline = now + std::min(call.timeout, state->limits.connectTimeout);
    connect();
}

void Connection::connect()
{
    const auto endpoint = endpointOf(address);
    boost::system::error_code ec;
    if (endpoint)
        ec = socket.open(tcp::v4(), ec);
    if (!endpoint || ec) {
        asio::post(socket.get_executor(), [self = shared_from_this()] { self->finish(makeUnexpected(AsyncCallError::NotSent), false); });
        return;
    }
    socket.set_option(tcp::no_delay(true), ec);
    // Unacknowledged data ends the connection; a peer without power never answers.
    const unsigned userTimeoutMs = 3000;
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    socket.async_connect(*endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
        if (!self->callback)
            return;
        if (error)
            return self->finish(makeUnexpected(AsyncCallError::NotSent), false);
        self->isConnected = true;
        self->send();
    });
}

void Connection::send()
{
    // Checked here as well as in the sweep, because a late loop can run this handler before the sweep that is due.
    if (isTooLateToSend(clock.now())) {
        asio::post(
            socket.get_executor(), [self = shared_from_this()] { self->finish(makeUnexpected(AsyncCallError::NotSentInTime), true); });
        return;
    }
    isSending = true;
    hasSent = true;
    isOverdue = false;
    beast::http::async_write(socket, request, [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        if (!self->callback)
            return;
        if (error)
            return self->finish(makeUnexpected(AsyncCallError::NoAnswer), false);
        self->isWritten = true;
        self->receive();
    });
}

void Connection::receive()
{
    parser.emplace();
    if (const auto state = owner.lock())
        parser->body_limit(state->limits.maxBodyBytes);
    beast::http::async_read(socket, buffer, *parser, [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        if (!self->callback)
            return;
        if (error)
            return self->finish(makeUnexpected(AsyncCallError::NoAnswer), false);
        const bool isReusable = self->parser->get().keep_alive();
        self->finish(responseOf(*self->parser), isReusable);
    });
}

bool Connection::isLate(MonotonicTime now) const { return deadline <= now || (!isConnected && connectDeadline <= now); }

bool Connection::isDelivered()
{
    int unacknowledgedBytes = 0;
    return isWritten && ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledgedBytes) == 0 && unacknowledgedBytes == 0;
}

void Connection::discardUndelivered()
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
}

AsyncCallError Connection::errorAt(MonotonicTime now)
{
    if (isSending)
        return isDelivered() ? AsyncCallError::DeliveredUnanswered : AsyncCallError::NoAnswer;
    return isTooLateToSend(now) ? AsyncCallError::NotSentInTime : AsyncCallError::NotSent;
}

void Connection::finish(Expected<Response, AsyncCallError> result, bool isReusable)
{
    // The call may have been ended while this was posted.
    if (!callback)
        return;
    const auto done = std::exchange(callback, nullptr);
    if (const auto state = owner.lock())
        state->release(shared_from_this(), isReusable);
    done(std::move(result));
}

void AsyncHttpClient::State::call(AsyncCall call, AsyncCallback callback)
{
    auto& peer = peers[call.address];
    if (peer.busyCount < limits.maxConnections) {
        start(peer, call, std::move(callback));
    } else {
        const auto now = clock.now();
        const auto deadline = now + call.timeout;
        const auto sendDeadline = sendDeadlineOf(call, now);
        peer.waiting.push_back({ std::move(call), std::move(callback), deadline, sendDeadline });
        ++waitingCount;
    }
    armSweep();
}

void AsyncHttpClient::State::start(Peer& peer, const AsyncCall& call, AsyncCallback callback)
{
    auto connection = takeIdle(peer, call.isRepeat);
    if (!connection) {
        if (peer.busyCount + peer.idle.size() >= limits.maxConnections)
            closeOneIdle(peer);
        connection = std::make_shared<Connection>(shared_from_this(), call.address);
    }
    ++peer.busyCount;
    busy.insert(connection);
    connection->start(call, std::move(callback));
}

void AsyncHttpClient::State::closeOneIdle(Peer& peer)
{
    if (peer.idle.empty())
        return;
    boost::system::error_code ec;
    ec = peer.idle.front()->socket.close(ec);
    peer.idle.erase(peer.idle.begin());
}

std::shared_ptr<Connection> AsyncHttpClient::State::takeIdle(Peer& peer, bool isRepeat)
{
    const auto oldest = clock.now() - limits.idleTimeout;
    const auto isUsable = [isRepeat](const auto& it) { return !isRepeat || !it->hasSent; };
    for (;;) {
        const auto it = std::find_if(peer.idle.rbegin(), peer.idle.rend(), isUsable);
        if (it == peer.idle.rend())
            return nullptr;
        auto connection = *it;
        peer.idle.erase(std::next(it).base());
        // Readable while idle: closed by the peer, or out of step.
        char byte = 0;
        const bool isQuiet = recv(connection->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
        if (isQuiet && connection->idleSince >= oldest)
            return connection;
        boost::system::error_code ec;
        ec = connection->socket.close(ec);
    }
}

void AsyncHttpClient::State::release(const std::shared_ptr<Connection>& connection, bool isReusable)
{
    busy.erase(connection);
    auto& peer = peers[connection->address];
    --peer.busyCount;
    if (isReusable) {
        connection->idleSince = clock.now();
        peer.idle.push_back(connection);
    } else {
        boost::system::error_code ec;
        ec = connection->socket.close(ec);
    }
    startWaiting(peer);
}

void AsyncHttpClient::State::startWaiting(Peer& peer)
{
    while (!peer.waiting.empty() && peer.busyCount < limits.maxConnections) {
        auto next = std::move(peer.waiting.front());
        peer.waiting.pop_front();
        --waitingCount;
        const auto now = clock.now();
        next.call.timeout = std::max(std::chrono::duration_cast<Milliseconds>(next.deadline - now), Milliseconds(1));
        if (next.call.maxSendDelay)
            next.call.maxSendDelay = std::chrono::duration_cast<Milliseconds>(next.sendDeadline - now);
        start(peer, next.call, std::move(next.callback));
    }
}

void AsyncHttpClient::State::armSweep()
{
    if (isSweepArmed || (busy.empty() && waitingCount == 0))
        return;
    isSweepArmed = true;
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!self || error)
            return;
        self->isSweepArmed = false;
        self->sweep();
        self->armSweep();
    });
}

void AsyncHttpClient::State::sweep()
{
    const auto now = clock.now();
    std::vector<std::shared_ptr<Connection>> late;
    // A call ends only in the second sweep after its deadline, once the loop has read the sockets in between: when the loop itself is late,
    // the response may have arrived in time.
    std::ranges::copy_if(busy, std::back_inserter(late), [&](const auto& it) {
        const bool isLate = it->isLate(now);
        // A connection that came up too late for its call ends it by itself and is kept for the next one.
        const bool cannotSend = !it->isConnected && it->isTooLateToSend(now);
        return cannotSend || (std::exchange(it->isOverdue, isLate) && isLate);
    });
    for (const auto& connection : late) {
        const auto error = connection->errorAt(now);
        if (error == AsyncCallError::NoAnswer)
            connection->discardUndelivered();
        connection->finish(makeUnexpected(error), false);
    }
    if (waitingCount > 0)
        dropLateWaiting(now);
}

void AsyncHttpClient::State::dropLateWaiting(MonotonicTime now)
{
    std::vector<std::pair<AsyncCallback, AsyncCallError>> late;
    for (auto& [address, peer] : peers) {
        std::erase_if(peer.waiting, [&](WaitingCall& it) {
            if (it.deadline > now && it.sendDeadline > now)
                return false;
            const auto error = it.sendDeadline <= now ? AsyncCallError::NotSentInTime : AsyncCallError::NotSent;
            late.emplace_back(std::move(it.callback), error);
            return true;
        });
    }
    waitingCount -= late.size();
    std::ranges::for_each(late, [](const auto& it) { it.first(makeUnexpected(it.second)); });
}

AsyncHttpClient::AsyncHttpClient(asio::io_context& loop, const Clock& clock, AsyncClientLimits limits)
    : m_state(std::make_shared<State>(loop, clock, limits))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(AsyncCall call, AsyncCallback callback) { m_state->call(std::move(call), std::move(callback)); }

void AsyncHttpClient::closeIdle(const Address& address)
{
    auto& peer = m_state->peers[address];
    while (!peer.idle.empty())
        m_state->closeOneIdle(peer);
}

} // namespace kingcuploom::http
