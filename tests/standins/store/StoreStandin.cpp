#include "StoreStandin.h"

#include "StoreMessages.h"

#include <stdexcept>

namespace kingcuploom::testing {

namespace {

    // Values of up to 1 MB, the limit of the store, take more space in a request because of base64 and the other transaction fields.
    constexpr http::ServerLimits limits { 1024, 4 * 1024 * 1024, 16 * 1024 };

    constexpr int statusServiceUnavailable = 503;

    http::StreamResponse toStreamResponse(const http::Response& response)
    {
        auto body = std::make_shared<std::string>(response.body);
        return { response.status, response.headers, [body] { return std::exchange(*body, {}); }, {} };
    }

    // Closes the connection after the status line.
    http::StreamResponse lostResponse()
    {
        return { 200, {}, []() -> std::string { throw std::runtime_error("response lost as requested by the test"); }, {} };
    }

} // namespace

struct StoreStandin::WatchCursor {
    explicit WatchCursor(std::atomic<int>& counter)
        : openWatches(counter)
    {
        ++openWatches;
    }
    ~WatchCursor() { --openWatches; }
    WatchCursor(const WatchCursor&) = delete;
    WatchCursor& operator=(const WatchCursor&) = delete;

    std::atomic<int>& openWatches;
    KeyRange range;
    std::int64_t nextRevision = 0;
    int generation = 0;
    bool isCreated = false;
    bool isCancelled = false;
    // Whether the stand-in served stale reads of the keys of this watch when the watch was opened.
    bool isStale = false;
};

StoreStandin::StoreStandin()
    : m_server(limits)
{
    addRoute("/v3/kv/range", "read", &StoreStandin::range);
    addRoute("/v3/kv/txn", "write", &StoreStandin::transaction);
    addRoute("/v3/lease/grant", "lease", &StoreStandin::grantLease);
    addRoute("/v3/lease/keepalive", "lease", &StoreStandin::keepLeaseAlive);
    addRoute("/v3/lease/revoke", "lease", &StoreStandin::revokeLease);
    m_server.routeStream("POST", "/v3/watch", [this](const http::Request& request) { return watch(request); });
    addAdminRoutes();
}

StoreStandin::~StoreStandin()
{
    release();
    m_server.stop();
}

void StoreStandin::release()
{
    m_faults.stop();
    dropWatches();
}

void StoreStandin::addRoute(const std::string& path, const std::string& kind, JsonHandler handler)
{
    m_server.routeStream("POST", path, [this, kind, handler](const auto& request) { return handleCall(request, kind, handler); });
}

void StoreStandin::addAdminRoutes()
{
    m_server.route("PUT", "/admin/faults", [this](const auto& request) { return setFaults(request); });
    m_server.route("POST", "/admin/expire_lease", [this](const auto& request) { return expireLease(request); });
    m_server.route("GET", "/admin/record", [this](const auto&) { return record(); });
    m_server.route("POST", "/admin/drop_watches", [this](const auto&) {
        dropWatches();
        return emptyResponse(200);
    });
}

http::StreamResponse StoreStandin::handleCall(const http::Request& request, const std::string& kind, JsonHandler handler)
{
    m_calls.count(kind);
    m_faults.delay();
    if (m_faults.isDown) {
        m_calls.count("refused");
        return toStreamResponse(jsonResponse(statusServiceUnavailable, unavailableResponse()));
    }
    const auto body = http::parseJson(request.body);
    const auto response = (this->*handler)(body.get());
    if (kind == "write" && response.status == 200 && m_faults.consumeLostResponse())
        return lostResponse();
    return toStreamResponse(response);
}

http::Response StoreStandin::range(const json_t* body)
{
    const auto range = parseRange(body);
    const auto minRevision = http::intField(body, "min_mod_revision");
    const auto limit = http::intField(body, "limit");
    if (const auto revision = m_faults.staleRevision(range.begin))
        return jsonResponse(200, rangeResponse(m_state.rangeAt(revision, range, minRevision, limit)));
    return jsonResponse(200, rangeResponse(m_state.range(range, minRevision, limit)));
}

http::Response StoreStandin::transaction(const json_t* body)
{
    const auto transaction = parseTransaction(body);
    if (!transaction)
        return emptyResponse(400);
    if (m_faults.refusesWrite(transaction->key))
        return jsonResponse(statusServiceUnavailable, unavailableResponse());
    const auto result = m_state.apply(*transaction);
    if (result.outcome == TransactionOutcome::LeaseNotFound)
        return jsonResponse(404, leaseNotFoundResponse());
    return jsonResponse(200, transactionResponse(result));
}

http::Response StoreStandin::grantLease(const json_t* body)
{
    const auto timeToLive = http::intField(body, "TTL");
    if (timeToLive <= 0)
        return emptyResponse(400);
    const auto id = std::to_string(m_state.grantLease(std::chrono::seconds(timeToLive)));
    return jsonResponse(200, http::Json(json_pack("{s:s, s:s}", "ID", id.c_str(), "TTL", std::to_string(timeToLive).c_str())));
}

http::Response StoreStandin::keepLeaseAlive(const json_t* body)
{
    const auto id = http::intField(body, "ID");
    const auto timeToLive = m_state.keepLeaseAlive(id);
    http::Json answer(json_pack("{s:{s:s}}", "result", "ID", std::to_string(id).c_str()));
    if (timeToLive > 0)
        json_object_set_new(json_object_get(answer.get(), "result"), "TTL", json_string(std::to_string(timeToLive).c_str()));
    return jsonResponse(200, answer);
}

http::Response StoreStandin::revokeLease(const json_t* body)
{
    if (!m_state.revokeLease(http::intField(body, "ID")))
        return jsonResponse(404, leaseNotFoundResponse());
    return jsonResponse(200, http::Json(json_object()));
}

http::StreamResponse StoreStandin::watch(const http::Request& request)
{
    m_calls.count("watch");
    m_faults.delay();
    if (m_faults.isDown) {
        m_calls.count("refused");
        return toStreamResponse(jsonResponse(statusServiceUnavailable, unavailableResponse()));
    }
    const auto body = http::parseJson(request.body);
    const auto* create = http::field(body.get(), "create_request");
    auto cursor = std::make_shared<WatchCursor>(m_openWatches);
    cursor->range = parseRange(create);
    cursor->generation = m_watchGeneration;
    cursor->isStale = m_faults.staleRevision(cursor->range.begin) != 0;
    const auto from = http::intField(create, "start_revision");
    cursor->nextRevision = from > 0 ? from : m_state.revision() + 1;
    return { 200, {}, [this, cursor] { return nextWatchMessage(*cursor); }, [this] { dropWatches(); } };
}

std::string StoreStandin::nextWatchMessage(WatchCursor& cursor)
{
    if (!std::exchange(cursor.isCreated, true))
        return watchCreatedLine(m_state.revision());
    if (cursor.isCancelled)
        return {};
    if (cursor.nextRevision < m_state.firstRetainedRevision()) {
        cursor.isCancelled = true;
        return watchCancelledLine(m_state.firstRetainedRevision());
    }
    const auto isEnded = [&] { return m_watchGeneration != cursor.generation; };
    if (cursor.isStale)
        m_faults.waitWhileStale(cursor.range.begin, isEnded);
    const auto events = m_state.waitForEvents(cursor.range, cursor.nextRevision, isEnded);
    m_faults.delay();
    if (events.empty() || isEnded())
        return {};
    cursor.nextRevision = events.back().entry.modRevision + 1;
    return watchEventsLine(events);
}

void StoreStandin::setDown(bool isDown)
{
    m_faults.isDown = isDown;
    if (isDown)
        dropWatches();
}

void StoreStandin::dropWatches()
{
    ++m_watchGeneration;
    m_state.notifyWatches();
}

http::Response StoreStandin::setFaults(const http::Request& request)
{
    const auto body = http::parseJson(request.body);
    if (!json_is_object(body.get()))
        return emptyResponse(400);
    m_faults.slowMs = http::intField(body.get(), "slow_ms", m_faults.slowMs);
    m_faults.loseAnswers = http::intField(body.get(), "lose_answers", m_faults.loseAnswers);
    if (http::field(body.get(), "stale_reads"))
        m_faults.setStale(http::stringField(body.get(), "stale_reads"), m_state.revision());
    if (http::field(body.get(), "refuse_writes"))
        m_faults.setRefusedWrites(http::stringField(body.get(), "refuse_writes"));
    if (http::field(body.get(), "down"))
        setDown(http::boolField(body.get(), "down"));
    return emptyResponse(200);
}

http::Response StoreStandin::expireLease(const http::Request& request)
{
    const auto body = http::parseJson(request.body);
    const auto key = http::stringField(body.get(), "key");
    const auto lease = key.empty() ? http::intField(body.get(), "lease") : m_state.getLease(key);
    return emptyResponse(m_state.revokeLease(lease) ? 200 : 404);
}

http::Response StoreStandin::record() const
{
    auto calls = m_calls.toJson();
    return jsonResponse(200,
        http::Json(json_pack("{s:o, s:i, s:I}", "calls", calls.release(), "open_watches", m_openWatches.load(), "revision",
            json_int_t(m_state.revision()))));
}

} // namespace kingcuploom::testing
