#include "http/HttpClient.h"

#include "HandlePool.h"
#include "Transfer.h"

namespace kingcuploom::http {

namespace {

    // Longest wait between two looks at a stream; cancellation wakes it up earlier.
    constexpr int streamWaitMs = 60'000;

    tl::unexpected<ClientError> noHandle()
    {
        return makeUnexpected(ClientError { ClientErrorCode::ConnectFailed, "libcurl cannot create a handle" });
    }

    // Result of the only transfer of the handle, nothing while it runs.
    std::optional<CURLcode> finishedResult(CURLM* multi)
    {
        int left = 0;
        while (const auto* message = curl_multi_info_read(multi, &left)) {
            if (message->msg == CURLMSG_DONE)
                return message->data.result;
        }
        return std::nullopt;
    }

    // Nothing when cancelled.
    std::optional<CURLcode> runUntilDone(CURLM* multi, const Cancellation* cancellation)
    {
        while (!cancellation || !cancellation->isCancelled()) {
            int running = 0;
            if (curl_multi_perform(multi, &running) != CURLM_OK)
                return CURLE_FAILED_INIT;
            if (const auto result = finishedResult(multi))
                return result;
            curl_multi_poll(multi, nullptr, 0, streamWaitMs, nullptr);
        }
        return std::nullopt;
    }

} // namespace

bool isNotSent(ClientErrorCode code) { return code == ClientErrorCode::ConnectFailed || code == ClientErrorCode::TimeoutBeforeSend; }

void Cancellation::cancel()
{
    const std::scoped_lock lock(m_mutex);
    m_isCancelled = true;
    if (m_multi)
        curl_multi_wakeup(m_multi);
}

bool Cancellation::isCancelled() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isCancelled;
}

void Cancellation::attach(void* multi)
{
    const std::scoped_lock lock(m_mutex);
    m_multi = multi;
}

namespace {

    // A handle for one call. After a failure it is destroyed with its connection, whose state is unknown.
    struct PooledHandle {
        PooledHandle(HandlePool& handles, const std::string& baseUrl, const CallOptions& options)
            : pool(handles)
            , url(baseUrl)
            , handle(handles.take(baseUrl, options.reuse == ConnectionReuse::Allowed, options.maxConnections))
        {
        }
        ~PooledHandle()
        {
            // The connection is closed before it stops to count.
            if (!isReusable)
                handle.reset();
            pool.giveBack(url, std::move(handle));
        }
        PooledHandle(const PooledHandle&) = delete;
        PooledHandle& operator=(const PooledHandle&) = delete;

        HandlePool& pool;
        const std::string& url;
        EasyHandle handle;
        bool isReusable = false;
    };

} // namespace

struct HttpClient::Pool {
    HandlePool handles;
};

HttpClient::HttpClient()
    : m_pool(std::make_unique<Pool>())
{
}

HttpClient::~HttpClient() = default;

Expected<Response, ClientError> HttpClient::call(const std::string& baseUrl, const Request& request, const CallOptions& options)
{
    // libcurl takes 0 for "no limit".
    if (options.timeout.count() <= 0)
        return makeUnexpected(ClientError { ClientErrorCode::TimeoutBeforeSend, "no time left" });
    PooledHandle pooled(m_pool->handles, baseUrl, options);
    auto& handle = pooled.handle;
    if (!handle)
        return noHandle();
    Transfer transfer(handle.get(), baseUrl, request);
    transfer.setTimeouts(options.timeout, options.connectTimeout);
    transfer.setReuse(options.reuse);
    transfer.setMaxResponseBytes(options.maxResponseBytes);
    transfer.setCancellation(options.isCancelled);
    const auto error = transfer.errorOf(curl_easy_perform(handle.get()));
    if (error)
        return makeUnexpected(*error);
    auto response = transfer.takeResponse();
    pooled.isReusable = options.reuse == ConnectionReuse::Allowed;
    return response;
}

void HttpClient::limitConnections(const std::string& baseUrl, std::size_t maxConnections)
{
    m_pool->handles.limit(baseUrl, maxConnections);
}

Expected<void, ClientError> HttpClient::stream(
    const std::string& baseUrl, const Request& request, std::function<bool(std::string_view)> onData, const StreamOptions& options)
{
    const auto handle = makeEasyHandle();
    const MultiHandle multi(curl_multi_init());
    if (!handle || !multi)
        return noHandle();
    Transfer transfer(handle.get(), baseUrl, request);
    transfer.setTimeouts(Milliseconds(0), options.connectTimeout);
    transfer.setReuse(ConnectionReuse::Forbidden);
    transfer.setConsumer(std::move(onData), options.onStatus);
    curl_multi_add_handle(multi.get(), handle.get());
    if (options.cancellation)
        options.cancellation->attach(multi.get());
    const auto result = runUntilDone(multi.get(), options.cancellation);
    if (options.cancellation)
        options.cancellation->attach(nullptr);
    const auto error
        = result ? transfer.errorOf(*result) : std::optional(ClientError { ClientErrorCode::Cancelled, "cancelled by the caller" });
    curl_multi_remove_handle(multi.get(), handle.get());
    if (error)
        return makeUnexpected(*error);
    return {};
}

} // namespace kingcuploom::http
