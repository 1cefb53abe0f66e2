#include "Transfer.h"

#include <algorithm>
#include <array>

namespace kingcuploom::http {

namespace {

    constexpr std::size_t maxResponseHeaderBytes = 64 * 1024;

    // Below the idle timeout of HttpServer: a connection that the server may be closing is not reused.
    constexpr long maxConnectionIdleSeconds = 30;

    // Probes of a silent connection, so that a stream whose server host vanished ends within about 15 s.
    constexpr long keepAliveIdleSeconds = 5;
    constexpr long keepAliveIntervalSeconds = 2;

    constexpr std::array<std::string_view, 5> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
    constexpr std::array<std::string_view, 3> methodsWithBody { "POST", "PUT", "PATCH" };

    template <typename Range> bool contains(const Range& range, std::string_view value)
    {
        return std::ranges::find(range, value) != std::ranges::end(range);
    }

    bool isSafeHeader(const std::pair<std::string, std::string>& header)
    {
        return !header.first.empty() && header.first.find_first_of("\r\n:") == std::string::npos
            && header.second.find_first_of("\r\n") == std::string::npos;
    }

} // namespace

Transfer::Transfer(CURL* handle, const std::string& baseUrl, const Request& request)
    : m_handle(handle)
    , m_isHead(request.method == "HEAD")
{
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, (baseUrl + request.path).c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // An empty string also overrides the proxy variables of the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, maxConnectionIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, keepAliveIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, keepAliveIntervalSeconds);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Transfer::onBeforeRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    setRequest(request);
    setHeaders(request);
    m_maySendAgain = contains(idempotentMethods, request.method);
}

void Transfer::setRequest(const Request& request)
{
    if (m_isHead) {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!request.body.empty() || contains(methodsWithBody, request.method)) {
        curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void Transfer::setHeaders(const Request& request)
{
    const auto append = [this](const std::string& line) {
        if (auto* list = curl_slist_append(m_requestHeaders.get(), line.c_str())) {
            (void)m_requestHeaders.release();
            m_requestHeaders.reset(list);
        }
    };
    // libcurl adds these headers by itself; a name without a value removes them. "Expect" would delay large bodies.
    append("Expect:");
    for (const auto* name : { "Accept", "Content-Type" }) {
        if (headerValue(request.headers, name).empty())
            append(std::string(name) + ":");
    }
    auto headers = withoutHopByHop(request.headers);
    // Host and length belong to this connection and this body.
    std::erase_if(headers, [](const auto& header) {
        const Headers single { header };
        return !isSafeHeader(header) || !headerValue(single, "Host").empty() || !headerValue(single, "Content-Length").empty()
            || !headerValue(single, "Expect").empty();
    });
    // libcurl's notation for an empty value is a semicolon.
    std::ranges::for_each(
        headers, [&](const auto& header) { append(header.second.empty() ? header.first + ";" : header.first + ": " + header.second); });
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_requestHeaders.get());
}

void Transfer::setTimeouts(Milliseconds total, Milliseconds connect)
{
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(total.count()));
    if (connect.count() > 0)
        curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect.count()));
}

void Transfer::setReuse(ConnectionReuse reuse)
{
    if (reuse == ConnectionReuse::Allowed)
        return;
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
    m_maySendAgain = false;
}

void Transfer::setCancellation(std::function<bool()> cancellation)
{
    if (!cancellation)
        return;
    m_cancellation = std::move(cancellation);
    curl_easy_setopt(m_handle, CURLOPT_XFERINFOFUNCTION, &Transfer::onProgress);
    curl_easy_setopt(m_handle, CURLOPT_XFERINFODATA, this);
    curl_easy_setopt(m_handle, CURLOPT_NOPROGRESS, 0L);
}

// libcurl calls this about once a second while it waits.
int Transfer::onProgress(void* self, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    auto& transfer = *static_cast<Transfer*>(self);
    transfer.m_isCancelled = transfer.m_isCancelled || transfer.m_cancellation();
    return transfer.m_isCancelled ? 1 : 0;
}

void Transfer::setConsumer(std::function<bool(std::string_view)> onData, std::function<bool(int)> onStatus)
{
    m_onData = std::move(onData);
    m_onStatus = std::move(onStatus);
}

std::size_t Transfer::onHeader(char* data, std::size_t size, std::size_t count, void* self)
{
    return static_cast<Transfer*>(self)->addHeaderLine({ data, size * count }) ? size * count : 0;
}

std::size_t Transfer::onBody(char* data, std::size_t size, std::size_t count, void* self)
{
    return static_cast<Transfer*>(self)->addBody({ data, size * count }) ? size * count : 0;
}

// libcurl re-sends a request on a new connection when a reused one ends before the first byte of the answer. Each send passes here.
int Transfer::onBeforeRequest(void* self, char*, char*, int, int)
{
    auto& transfer = *static_cast<Transfer*>(self);
    if (transfer.m_sendAttempts > 0 && !transfer.m_maySendAgain)
        return CURL_PREREQFUNC_ABORT;
    ++transfer.m_sendAttempts;
    return CURL_PREREQFUNC_OK;
}

bool Transfer::addHeaderLine(std::string_view line)
{
    m_headerBytes += line.size();
    if (m_headerBytes > maxResponseHeaderBytes) {
        m_isTooLarge = true;
        return false;
    }
    // A status line after the end of the headers follows an interim answer (1xx); anything else there is a trailer.
    if (line.starts_with("HTTP/")) {
        m_response.headers.clear();
        m_hasAllHeaders = false;
        return true;
    }
    if (m_hasAllHeaders)
        return true;
    const auto end = line.find_last_not_of("\r\n");
    if (end == std::string_view::npos) {
        m_hasAllHeaders = true;
        if (m_onStatus && status() >= 200 && !m_onStatus(status()))
            m_isCancelled = true;
        return !m_isCancelled;
    }
    line = line.substr(0, end + 1);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return true;
    const auto value = line.find_first_not_of(" \t", colon + 1);
    m_response.headers.emplace_back(line.substr(0, colon), value == std::string_view::npos ? std::string_view() : line.substr(value));
    return true;
}

bool Transfer::addBody(std::string_view data)
{
    if (m_onData) {
        m_isCancelled = m_isCancelled || !m_onData(data);
        return !m_isCancelled;
    }
    if (m_response.body.size() + data.size() > m_maxResponseBytes) {
        m_isTooLarge = true;
        return false;
    }
    m_response.body += data;
    return true;
}

int Transfer::status() const
{
    long code = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &code);
    return static_cast<int>(code);
}

bool Transfer::isSent() const
{
    // The number of bytes that the socket accepted; 0 also when the connection was never made.
    long bytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &bytes);
    return m_sendAttempts > 0 && bytes > 0;
}

// libcurl takes the end of the connection for the end of the headers or of a body of undeclared length. Neither proves that the
// answer is whole.
bool Transfer::isComplete() const
{
    if (!m_hasAllHeaders)
        return false;
    const auto code = status();
    if (m_isHead || code == 204 || code == 304)
        return true;
    return !headerValue(m_response.headers, "Content-Length").empty() || !headerValue(m_response.headers, "Transfer-Encoding").empty();
}

ClientErrorCode Transfer::codeOf(CURLcode result) const
{
    if (m_isCancelled)
        return ClientErrorCode::Cancelled;
    if (m_isTooLarge)
        return ClientErrorCode::ResponseTooLarge;
    switch (result) {
    case CURLE_OK:
    case CURLE_PARTIAL_FILE:
        return ClientErrorCode::Truncated;
    case CURLE_OPERATION_TIMEDOUT:
        return isSent() ? ClientErrorCode::Timeout : ClientErrorCode::TimeoutBeforeSend;
    default:
        return isSent() ? ClientErrorCode::ConnectionLost : ClientErrorCode::ConnectFailed;
    }
}

std::optional<ClientError> Transfer::errorOf(CURLcode result) const
{
    if (result == CURLE_OK && isComplete())
        return std::nullopt;
    const auto* detail = result == CURLE_OK ? "the end of the answer is not marked" : curl_easy_strerror(result);
    return ClientError { codeOf(result), detail };
}

Response Transfer::takeResponse()
{
    m_response.status = status();
    m_response.headers = withoutHopByHop(m_response.headers);
    return std::move(m_response);
}

} // namespace kingcuploom::http
