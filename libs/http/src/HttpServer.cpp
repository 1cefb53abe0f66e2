#include "http/HttpServer.h"

#include "BodyStream.h"
#include "ConnectionWatch.h"
#include "ListenSocket.h"
#include "RequestTracker.h"
#include "UlfiusMessages.h"

#include <atomic>
#include <fcntl.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>
#include <variant>

namespace kingcuploom::http {

namespace {

    // libmicrohttpd keeps request and response headers of a connection in one buffer; it answers 431 when a request overfills it.
    // The rest has to hold the largest response headers that HttpClient accepts, as they may be passed on.
    constexpr std::size_t connectionBufferExtra = 128 * 1024;

    // Above this share of the connection limit, connections end with their next answer. Otherwise idle callers keep new ones out
    // until the idle timeout.
    constexpr unsigned closingPercent = 75;

    // libmicrohttpd resets connections over its limit without an answer. This many more are accepted than requests are handled, so
    // that callers over the limit get an answer, and closed connections that are not yet cleaned up do not count.
    constexpr unsigned extraConnections(unsigned maxConnections) { return maxConnections / 4 + 16; }

    // Longest wait at stop() for requests that are arriving.
    constexpr Milliseconds closingWait { 500 };

    constexpr std::size_t streamBlockBytes = 16 * 1024;

    // A stream may wait long between two pieces, which must not count as an idle connection.
    constexpr unsigned streamIdleSeconds = 30U * 24 * 3600;

    struct Route {
        std::string method;
        std::string prefix;
        std::variant<Handler, StreamHandler> handler;
    };

    bool matches(const Route& route, const Request& request)
    {
        return (route.method == "*" || route.method == request.method) && request.path.starts_with(route.prefix);
    }

    std::string lateRefusal(const Headers& headers)
    {
        std::string text = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n";
        for (const auto& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "\r\n";
        return text;
    }

    int descriptorOf(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        return info ? info->connect_fd : -1;
    }

    ssize_t readStream(void* stream, uint64_t, char* out, std::size_t size) { return static_cast<BodyStream*>(stream)->read(out, size); }

    void freeStream(void* stream) { delete static_cast<BodyStream*>(stream); }

} // namespace

struct HttpServer::State {
    ServerLimits limits;
    std::vector<Route> routes;
    RequestTracker tracker;
    OpenStreams streams;
    ConnectionWatch connections;
    std::atomic<bool> isStopping = false;
    bool isRunning = false;
    int listenSocket = -1;
    _u_instance instance {};

    const Route* findRoute(const Request&) const;
    bool hasFewConnectionsLeft() const;
    void answer(const _u_request&, _u_response&);
    void refuse(_u_response&, int status, Headers = {}) const;
    void run(const Route&, const Request&, _u_response&);
    bool startDaemon();
    void takeQueuedConnections();

    static int onRequest(const _u_request*, _u_response*, void* state);
    static void* onRequestLine(void* state, const char* uri, MHD_Connection*);
    static void onConnection(void* state, MHD_Connection*, void** context, MHD_ConnectionNotificationCode);
    static void onCompleted(void* state, MHD_Connection*, void** info, MHD_RequestTerminationCode);
};

const Route* HttpServer::State::findRoute(const Request& request) const
{
    const Route* best = nullptr;
    for (const auto& route : routes) {
        if (matches(route, request) && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

bool HttpServer::State::hasFewConnectionsLeft() const
{
    const auto* info = MHD_get_daemon_info(instance.mhd_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info && info->num_connections * 100 > limits.maxConnections * closingPercent;
}

void HttpServer::State::run(const Route& route, const Request& request, _u_response& target)
{
    if (const auto* handler = std::get_if<Handler>(&route.handler)) {
        setResponse(target, (*handler)(request));
        return;
    }
    auto response = std::get<StreamHandler>(route.handler)(request);
    const auto status = static_cast<unsigned>(response.status);
    setHeaders(target, response.headers);
    // Owned by the answer; libmicrohttpd calls freeStream at its end.
    auto stream = std::make_unique<BodyStream>(streams, std::move(response));
    target.timeout = streamIdleSeconds;
    if (ulfius_set_stream_response(&target, status, &readStream, &freeStream, U_STREAM_SIZE_UNKNOWN, streamBlockBytes, stream.get())
        == U_OK)
        (void)stream.release();
    else
        setResponse(target, { 500, {}, {} });
}

void HttpServer::State::refuse(_u_response& target, int status, Headers headers) const
{
    headers.insert(headers.end(), limits.refusalHeaders.begin(), limits.refusalHeaders.end());
    setResponse(target, { status, headers, {} });
}

void HttpServer::State::answer(const _u_request& source, _u_response& target)
{
    auto request = requestHeadOf(source);
    const int descriptor = tracker.descriptorOf(&source);
    connections.received(descriptor);
    if (isStopping || !tracker.admit(&source, limits.maxConnections))
        return refuse(target, 503, { { "Retry-After", "1" } });
    if (headerBytes(request) > limits.maxHeaderBytes)
        return refuse(target, 431);
    if (source.binary_body_length > limits.maxBodyBytes)
        return refuse(target, 413);
    addBody(source, request);
    request.isCallerGone = [descriptor] { return isClosedByPeer(descriptor); };
    const auto* route = findRoute(request);
    if (!route)
        return setResponse(target, { 404, {}, {} });
    run(*route, request, target);
}

int HttpServer::State::onRequest(const _u_request* request, _u_response* response, void* state)
{
    auto& self = *static_cast<State*>(state);
    try {
        self.answer(*request, *response);
        if (self.isStopping || self.hasFewConnectionsLeft())
            u_map_put(response->map_header, "Connection", "close");
    } catch (const std::exception&) {
        setResponse(*response, { 500, {}, {} });
    }
    return U_CALLBACK_COMPLETE;
}

void* HttpServer::State::onRequestLine(void* state, const char* uri, MHD_Connection* connection)
{
    auto& self = *static_cast<State*>(state);
    const int descriptor = descriptorOf(connection);
    self.connections.receiving(descriptor);
    auto* info = static_cast<connection_info_struct*>(ulfius_uri_logger(nullptr, uri));
    if (info)
        self.tracker.add(info->request, descriptor);
    return info;
}

// libmicrohttpd reports the end of a connection before it closes the socket.
void HttpServer::State::onConnection(void* state, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code)
{
    auto& self = *static_cast<State*>(state);
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        self.connections.opened(descriptorOf(connection));
    else
        self.connections.closed(descriptorOf(connection));
}

void HttpServer::State::onCompleted(void* state, MHD_Connection* connection, void** info, MHD_RequestTerminationCode code)
{
    const auto* request = *info ? static_cast<connection_info_struct*>(*info)->request : nullptr;
    mhd_request_completed(nullptr, connection, info, code);
    static_cast<State*>(state)->tracker.remove(request);
}

bool HttpServer::State::startDaemon()
{
    const auto option = [](MHD_OPTION name, std::intptr_t value, void* pointer = nullptr) {
        return MHD_OptionItem { name, value, pointer };
    };
    const auto memory = static_cast<std::intptr_t>(2 * limits.maxHeaderBytes + connectionBufferExtra);
    MHD_OptionItem options[] = {
        option(MHD_OPTION_LISTEN_SOCKET, listenSocket),
        option(MHD_OPTION_CONNECTION_LIMIT, limits.maxConnections + extraConnections(limits.maxConnections)),
        option(MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory),
        option(MHD_OPTION_CONNECTION_TIMEOUT, limits.idleTimeout.count()),
        option(MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(&State::onConnection), this),
        option(MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&State::onCompleted), this),
        option(MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&State::onRequestLine), this),
        option(MHD_OPTION_END, 0),
    };
    // poll() because select() cannot handle descriptors above 1023; the inter-thread channel is needed to end the listener first.
    constexpr unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    return ulfius_start_framework_with_mhd_options(&instance, flags, options) == U_OK;
}

// Connections that the kernel has accepted and the listener has not: closing the socket would reset them without an answer.
void HttpServer::State::takeQueuedConnections()
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    const auto accept = [&] { return accept4(listenSocket, reinterpret_cast<sockaddr*>(&address), &size, SOCK_CLOEXEC); };
    fcntl(listenSocket, F_SETFL, O_NONBLOCK);
    for (int descriptor = accept(); descriptor >= 0; descriptor = accept()) {
        // The listener thread takes the connection over later, and stop() must not miss it until then.
        connections.opened(descriptor);
        if (MHD_add_connection(instance.mhd_daemon, descriptor, reinterpret_cast<sockaddr*>(&address), size) != MHD_YES)
            connections.closed(descriptor);
        size = sizeof(address);
    }
}

HttpServer::HttpServer(ServerLimits limits)
    : m_state(std::make_unique<State>())
{
    m_state->limits = std::move(limits);
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::route(const std::string& method, const std::string& pathPrefix, Handler handler)
{
    m_state->routes.push_back({ method, pathPrefix, std::move(handler) });
}

void HttpServer::routeStream(const std::string& method, const std::string& pathPrefix, StreamHandler handler)
{
    m_state->routes.push_back({ method, pathPrefix, std::move(handler) });
}

Expected<std::uint16_t, ServerError> HttpServer::start(const std::string& host, std::uint16_t port)
{
    const auto socket = openListenSocket(host, port);
    if (!socket)
        return makeUnexpected(ServerError::CannotListen);
    m_state->listenSocket = socket->descriptor;
    auto& instance = m_state->instance;
    if (ulfius_init_instance(&instance, socket->port, nullptr, nullptr) != U_OK) {
        close(socket->descriptor);
        return makeUnexpected(ServerError::CannotListen);
    }
    // One byte more than allowed is kept, so that a body over the limit can be told from one at the limit.
    instance.max_post_body_size = m_state->limits.maxBodyBytes + 1;
    instance.allowed_post_processor = U_POST_PROCESS_NONE;
    instance.check_utf8 = 0;
    ulfius_set_default_endpoint(&instance, &State::onRequest, m_state.get());
    if (!m_state->startDaemon()) {
        ulfius_clean_instance(&instance);
        close(socket->descriptor);
        return makeUnexpected(ServerError::CannotListen);
    }
    const auto& limits = m_state->limits;
    m_state->connections.start(limits.receiveTimeout, lateRefusal(limits.refusalHeaders), limits.isCountingConnections);
    m_state->isRunning = true;
    return socket->port;
}

void HttpServer::stop()
{
    if (!m_state->isRunning)
        return;
    m_state->isRunning = false;
    m_state->isStopping = true;
    MHD_quiesce_daemon(m_state->instance.mhd_daemon);
    m_state->takeQueuedConnections();
    // Refuses new connections; the descriptor stays open because the listener thread may still be using it.
    shutdown(m_state->listenSocket, SHUT_RDWR);
    m_state->streams.endAll();
    // A caller that has just connected is about to send its request, which has to be refused with an answer.
    m_state->connections.waitForReceiving(closingWait);
    // libmicrohttpd closes connections at once when it stops, also those with an answer half sent.
    m_state->tracker.waitUntilNone();
    ulfius_stop_framework(&m_state->instance);
    ulfius_clean_instance(&m_state->instance);
    m_state->connections.stop();
    close(m_state->listenSocket);
}

ConnectionCounts HttpServer::connectionCounts() const { return m_state->connections.counts(); }

} // namespace kingcuploom::http
