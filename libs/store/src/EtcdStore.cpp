#include "store/EtcdStore.h"

#include "EtcdMessages.h"
#include "EtcdWatch.h"

#include <algorithm>

namespace kingcuploom::store {

namespace {

    // A listing holds all records of a prefix: 256 shard records of up to 1 MB, a third more in base64.
    constexpr std::size_t maxAnswerBytes = 512UL * 1024 * 1024;

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusTooManyRequests = 429;

    StoreError fault(StoreErrorCode code, const std::string& detail) { return { code, detail, {} }; }

    std::vector<std::string> rotated(std::vector<std::string> urls, std::size_t first)
    {
        if (!urls.empty())
            std::rotate(urls.begin(), urls.begin() + static_cast<std::ptrdiff_t>(first % urls.size()), urls.end());
        return urls;
    }

    // A page of values of 1 MB, in base64, stays within maxAnswerBytes; pages of small values grow.
    constexpr std::int64_t firstPageEntries = 16;
    constexpr std::int64_t maxPageEntries = 4096;
    constexpr std::size_t smallPageBytes = 512 * 1024;

} // namespace

struct EtcdStore::Call {
    std::string path;
    std::string body;
    std::atomic<std::uint64_t>& counter;
    bool isRead = false;
};

EtcdStore::EtcdStore(EtcdSettings settings)
    : m_settings(std::move(settings))
    , m_client(std::make_shared<http::HttpClient>())
    , m_calls(std::make_shared<CallCounter>())
{
}

const std::string& EtcdStore::currentUrl() const { return m_settings.baseUrls[m_urlIndex % m_settings.baseUrls.size()]; }

Expected<http::Response, http::ClientError> EtcdStore::attempt(const Call& call, std::size_t urlsLeft, MonotonicTime deadline)
{
    http::CallOptions options;
    options.maxResponseBytes = maxAnswerBytes;
    options.timeout = std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now());
    // Leaves time for the other URLs when the first one does not accept the connection.
    options.connectTimeout = options.timeout / static_cast<int>(urlsLeft);
    const http::Request request { "POST", call.path, { { "Content-Type", "application/json" } }, call.body };
    ++call.counter;
    auto result = m_client->call(currentUrl(), request, options);
    if (!result && call.isRead && result.error().code == http::ClientErrorCode::ConnectionLost) {
        // The store may have closed an idle connection; a read can be repeated.
        options.reuse = http::ConnectionReuse::Forbidden;
        options.timeout = std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now());
        ++call.counter;
        result = m_client->call(currentUrl(), request, options);
    }
    if (!result || result->status != statusOk)
        ++m_urlIndex;
    return result;
}

Expected<std::string, StoreError> EtcdStore::post(const Call& call)
{
    const auto deadline = std::chrono::steady_clock::now() + m_settings.timeout;
    // A server error does not tell whether the write was carried out.
    const auto unclear = call.isRead ? StoreErrorCode::Unavailable : StoreErrorCode::OutcomeUnknown;
    std::string detail = "no store URL";
    for (auto left = m_settings.baseUrls.size(); left > 0; --left) {
        auto response = attempt(call, left, deadline);
        if (response) {
            if (response->status == statusOk)
                return std::move(response->body);
            if (response->status == statusNotFound && isLeaseNotFound(response->body))
                return makeUnexpected(fault(StoreErrorCode::LeaseNotFound, call.path));
            if (response->status == statusTooManyRequests)
                return makeUnexpected(fault(StoreErrorCode::Unavailable, "the store limits requests"));
            const auto code = response->status >= 500 ? unclear : StoreErrorCode::Protocol;
            return makeUnexpected(fault(code, "status " + std::to_string(response->status)));
        }
        detail = response.error().detail;
        if (!http::isNotSent(response.error().code))
            return makeUnexpected(fault(unclear, detail));
    }
    return makeUnexpected(fault(StoreErrorCode::Unavailable, detail));
}

Expected<std::optional<KeyValue>, StoreError> EtcdStore::get(const std::string& key)
{
    return post({ "/v3/kv/range", getRequest(key), m_calls->reads, true }).and_then(parseListing).map([](Listing listing) {
        return listing.entries.empty() ? std::nullopt : std::optional(std::move(listing.entries.front()));
    });
}

Expected<Listing, StoreError> EtcdStore::list(const std::string& prefix, Revision newerThan)
{
    Listing result;
    std::string begin = prefix;
    std::int64_t limit = firstPageEntries;
    while (true) {
        const auto answer = post({ "/v3/kv/range", listRequest(prefix, begin, newerThan, limit), m_calls->reads, true });
        if (!answer)
            return makeUnexpected(answer.error());
        auto page = parseListing(*answer);
        if (!page)
            return page;
        // Later pages may show later changes. The revision of the first page is the one up to which the listing is surely complete; a watch
        // from there repeats the rest.
        if (result.storeRevision == Revision())
            result.storeRevision = page->storeRevision;
        std::ranges::move(page->entries, std::back_inserter(result.entries));
        if (!hasMore(*answer) || page->entries.empty())
            return result;
        begin = result.entries.back().key + '\0';
        if (answer->size() < smallPageBytes)
            limit = std::min(2 * limit, maxPageEntries);
    }
}

Expected<Revision, StoreError> EtcdStore::commit(const std::string& key, const std::string& body)
{
    auto result = post({ "/v3/kv/txn", body, m_calls->writes }).and_then(parseCommit);
    if (!result && result.error().detail.empty())
        result.error().detail = key;
    return result;
}

Expected<Revision, StoreError> EtcdStore::compareAndSwap(const std::string& key, Revision expected, const std::string& value, LeaseId lease)
{
    if (value.size() > maxValueBytes)
        return makeUnexpected(fault(StoreErrorCode::ValueTooLarge, key));
    return commit(key, putRequest(key, expected, value, lease));
}

Expected<void, StoreError> EtcdStore::compareAndDelete(const std::string& key, Revision expected)
{
    return commit(key, deleteRequest(key, expected)).map([](Revision) {});
}

Expected<LeaseId, StoreError> EtcdStore::grantLease(Milliseconds timeToLive)
{
    return post({ "/v3/lease/grant", grantRequest(std::chrono::ceil<std::chrono::seconds>(timeToLive)), m_calls->leases })
        .and_then(parseGrant);
}

Expected<void, StoreError> EtcdStore::keepAlive(LeaseId lease)
{
    return post({ "/v3/lease/keepalive", leaseRequest(lease), m_calls->leases }).and_then(parseKeepAlive);
}

Expected<void, StoreError> EtcdStore::revokeLease(LeaseId lease)
{
    return post({ "/v3/lease/revoke", leaseRequest(lease), m_calls->leases }).map([](const std::string&) {});
}

std::unique_ptr<Watch> EtcdStore::watch(
    const std::string& prefix, Revision from, std::function<void(const std::vector<WatchEvent>&)> onEvents, std::function<void()> onLost)
{
    WatchSpec spec { rotated(m_settings.baseUrls, m_urlIndex), watchRequest(prefix, from), m_settings.timeout, std::move(onEvents),
        std::move(onLost) };
    return std::make_unique<EtcdWatch>(m_client, m_calls, std::move(spec));
}

} // namespace kingcuploom::store
