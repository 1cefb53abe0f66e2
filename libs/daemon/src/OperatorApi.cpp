#include "daemon/OperatorApi.h"

#include "OperatorJson.h"
#include "OperatorParameters.h"
#include "StatusReport.h"
#include "base/Log.h"
#include "schema/JsonCodec.h"

#include <algorithm>
#include <prometheus/text_serializer.h>

namespace kingcuploom {

namespace {

    constexpr std::size_t defaultAuditLimit = 200;
    constexpr std::int64_t maxAuditLimit = 5000;
    constexpr std::size_t explainAuditLimit = 20;

    http::Response malformed(const schema::ParseError& error)
    {
        return errorResponse(
            ApiError { 400, "malformed", error.message, "correct the text at the named line and field; nothing was stored" });
    }

    http::Response methodNotAllowed(const char* allowed)
    {
        auto response = errorResponse(
            ApiError { 405, "method_not_allowed", "the path does not support this method", "use one of the methods of the header Allow" });
        response.headers.emplace_back("Allow", allowed);
        return response;
    }

    http::Response outcomeResponse(const ApplyOutcome& outcome, ApplyMode mode)
    {
        auto body = toJsonObject(outcome.declared);
        setField(body, "changed", outcome.isChanged);
        setField(body, "dry_run", mode == ApplyMode::Trial);
        return jsonResponse(200, body);
    }

    struct ExplainName {
        const char* path;
        // Prefix of the audit objects.
        const char* object;
        ExplainKind kind;
    };

    constexpr ExplainName explainNames[] = {
        { "task", "task/", ExplainKind::Task },
        { "request-class", "service/", ExplainKind::RequestClass },
        { "worker", "worker/", ExplainKind::Worker },
    };

    Json toJsonList(const std::vector<schema::AuditEventT>& events)
    {
        auto list = jsonArray();
        std::ranges::for_each(events, [&](const auto& event) { appendValue(list, toJsonObject(event)); });
        return list;
    }

} // namespace

struct OperatorApi::Counters {
    explicit Counters(prometheus::Registry& registry)
        : family(
            prometheus::BuildCounter().Name("kingcuploom_operator_requests_total").Help("Operator requests by status").Register(registry))
    {
    }

    void count(int status) { family.Add({ { "status", std::to_string(status) } }).Increment(); }

    prometheus::Family<prometheus::Counter>& family;
};

OperatorApi::OperatorApi(Parts parts)
    : m_parts(std::move(parts))
    , m_counters(std::make_unique<Counters>(m_parts.registry))
{
}

OperatorApi::~OperatorApi() = default;

void OperatorApi::stop() { m_isStopping = true; }

void OperatorApi::registerRoutes(http::HttpServer& server)
{
    const auto handler = [this](const http::Request& request) { return handle(request); };
    for (const auto* prefix :
        { "/v1/resources", "/v1/jobs", "/v1/audit", "/v1/explain", "/v1/status", "/v1/trace", "/healthz", "/readyz", "/metrics" })
        server.route("*", prefix, handler);
    server.routeStream("GET", "/v1/watch", [this](const http::Request& request) { return handleWatch(request); });
}

http::Response OperatorApi::handle(const http::Request& request)
{
    const auto path = pathOnly(request.path);
    auto response = answer(request, path);
    m_counters->count(response.status);
    return response;
}

http::Response OperatorApi::answer(const http::Request& request, const std::string& path)
{
    if (path == "/healthz")
        return { 200, { { "Content-Type", "application/json" } }, "{\"status\":\"alive\"}\n" };
    if (path == "/readyz")
        return answerReady();
    if (path == "/metrics")
        return answerMetrics();
    if (hasKey(request))
        return answerRecorded(request, path);
    logEvent(LogLevel::Warning, "operator_key_refused", { { "method", request.method }, { "path", path } });
    return errorResponse(keyRefused());
}

http::Response OperatorApi::answerRecorded(const http::Request& request, const std::string& path)
{
    auto response = answerKeyed(request, path);
    if (response.status >= 200 && response.status < 300)
        m_parts.trace.recordChange(request);
    return response;
}

http::Response OperatorApi::answerKeyed(const http::Request& request, const std::string& path)
{
    if (const auto rest = restBelow(path, "/v1/resources"))
        return answerResources(request, *rest);
    if (const auto rest = restBelow(path, "/v1/jobs"))
        return answerJobs(request, *rest);
    if (request.method != "GET")
        return methodNotAllowed("GET");
    if (path == "/v1/audit")
        return answerAudit(request);
    if (const auto rest = restBelow(path, "/v1/explain"))
        return answerExplain(*rest);
    if (path == "/v1/status")
        return answerStatus();
    if (path == "/v1/trace")
        return { 200, { { "Content-Type", "application/x-ndjson" } }, m_parts.trace.lines() };
    return errorResponse(noSuchRoute());
}

bool OperatorApi::hasKey(const http::Request& request) const
{
    const auto& expected = m_parts.settings.operator_key;
    return !expected.empty() && isEqualInConstantTime(http::headerValue(request.headers, keyHeader), expected);
}

http::Response OperatorApi::answerReady() const
{
    if (m_parts.isReady())
        return { 200, { { "Content-Type", "application/json" } }, "{\"status\":\"ready\"}\n" };
    const auto* state = m_parts.ownership.isLeaving() ? "the daemon is leaving" : "the daemon has not joined yet";
    return errorResponse(ApiError { 503, "not_ready", state, "use another entry VM" });
}

http::Response OperatorApi::answerMetrics()
{
    m_parts.config.updateMetrics();
    if (m_parts.updateMetrics)
        m_parts.updateMetrics();
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, prometheus::TextSerializer().Serialize(m_parts.registry.Collect()) };
}

http::Response OperatorApi::answerStatus() const { return jsonResponse(200, statusReport(m_parts)); }

http::Response OperatorApi::answerAudit(const http::Request& request) const
{
    const auto since = numberParameter(request, "since_ms", 0);
    const auto until = numberParameter(request, "until_ms", std::numeric_limits<std::int64_t>::max());
    const auto limit = numberParameter(request, "limit", defaultAuditLimit);
    for (const auto& parameter : { since, until, limit }) {
        if (!parameter)
            return errorResponse(parameter.error());
    }
    AuditFilter filter;
    filter.object = http::queryValue(request.path, "object");
    filter.sinceMs = *since;
    filter.untilMs = *until;
    filter.limit = static_cast<std::size_t>(std::min(*limit, maxAuditLimit));
    const auto events = m_parts.audit.query(filter);
    if (!events)
        return errorResponse(ApiError { 503, "store_unavailable", "the audit events cannot be read from the store",
            "repeat later; the logs of the daemons hold the same events" });
    auto body = jsonObject();
    setField(body, "events", toJsonList(*events));
    return jsonResponse(200, body);
}

http::Response OperatorApi::answerExplain(const std::string& rest) const
{
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const auto it = std::ranges::find_if(explainNames, [&](const auto& entry) { return kind == entry.path; });
    if (it == std::end(explainNames) || name.empty())
        return errorResponse(ApiError { 404, "no_such_route", "nothing to explain at this path",
            "use /v1/explain/task/JOB/INDEX, /v1/explain/request-class/SERVICE/TEAM or /v1/explain/worker/VM" });
    const auto explanation = m_parts.jobs.explain({ it->kind, name });
    if (!explanation)
        return errorResponse(explanation.error());
    auto body = toJsonObject(*explanation);
    setField(body, "kind", kind);
    setField(body, "name", name);
    AuditFilter filter;
    // Refusals are audited by service, whatever the team.
    filter.object = it->object + (it->kind == ExplainKind::RequestClass ? name.substr(0, name.find('/')) : name);
    filter.limit = explainAuditLimit;
    if (const auto events = m_parts.audit.query(filter))
        setField(body, "events", toJsonList(*events));
    else
        setField(body, "events_error", "store_unavailable");
    return jsonResponse(200, body);
}

http::Response OperatorApi::answerResources(const http::Request& request, const std::string& rest)
{
    if (const auto key = resources::parseResourceKey(rest))
        return answerResource(request, *key);
    const auto kind = resources::parseKind(rest);
    if (!rest.empty() && !kind)
        return errorResponse(noSuchRoute());
    if (request.method != "GET")
        return methodNotAllowed("GET");
    const auto list = m_parts.config.list(kind);
    auto items = jsonArray();
    std::ranges::for_each(list.resources, [&](const auto& declared) { appendValue(items, toJsonObject(declared)); });
    auto body = jsonObject();
    setField(body, "revision", list.revision.value());
    setField(body, "resources", std::move(items));
    return jsonResponse(200, body);
}

http::Response OperatorApi::answerResource(const http::Request& request, const resources::ResourceKey& key)
{
    if (request.method == "PUT")
        return putResource(request, key);
    if (request.method == "DELETE")
        return deleteResource(request, key);
    if (request.method != "GET")
        return methodNotAllowed("GET, PUT, DELETE");
    if (const auto declared = m_parts.config.find(key))
        return jsonResponse(200, toJsonObject(*declared));
    ConfigError error;
    error.code = ConfigErrorCode::NotFound;
    return errorResponse(error);
}

http::Response OperatorApi::putResource(const http::Request& request, const resources::ResourceKey& key)
{
    const auto actor = actorOf(request);
    const auto revision = numberParameter(request, "revision", 0);
    if (!actor)
        return errorResponse(actor.error());
    if (!revision)
        return errorResponse(revision.error());
    auto resource = schema::parseResource(request.body, "request");
    if (!resource)
        return malformed(resource.error());
    if (resource->kind != key.kind || resource->name != key.name)
        return errorResponse(ApiError { 400, "malformed", "kind or name of the body differ from the path " + toString(key),
            "use the same kind and name in both; nothing was stored" });
    const auto mode = modeOf(request);
    const auto outcome = m_parts.config.apply(std::move(*resource), Revision(*revision), *actor, mode);
    return outcome ? outcomeResponse(*outcome, mode) : errorResponse(outcome.error());
}

http::Response OperatorApi::deleteResource(const http::Request& request, const resources::ResourceKey& key)
{
    const auto actor = actorOf(request);
    const auto revision = numberParameter(request, "revision", 0);
    if (!actor)
        return errorResponse(actor.error());
    if (!revision)
        return errorResponse(revision.error());
    const auto mode = modeOf(request);
    const auto outcome = m_parts.config.remove(key, Revision(*revision), *actor, mode);
    return outcome ? outcomeResponse(*outcome, mode) : errorResponse(outcome.error());
}

http::Response OperatorApi::answerJobs(const http::Request& request, const std::string& name)
{
    if (name.empty() && request.method == "POST")
        return submitJob(request);
    if (name.empty() && request.method == "GET") {
        auto items = jsonArray();
        std::ranges::for_each(m_parts.jobs.list(), [&](const auto& job) { appendValue(items, toJsonSummary(job)); });
        auto body = jsonObject();
        setField(body, "jobs", std::move(items));
        return jsonResponse(200, body);
    }
    if (name.empty())
        return methodNotAllowed("GET, POST");
    if (request.method == "GET") {
        const auto job = m_parts.jobs.find(JobName(name));
        return job ? jsonResponse(200, toJsonObject(*job)) : errorResponse(job.error());
    }
    if (request.method != "DELETE")
        return methodNotAllowed("GET, DELETE");
    const auto actor = actorOf(request);
    if (!actor)
        return errorResponse(actor.error());
    const auto job = m_parts.jobs.cancel(JobName(name), *actor);
    return job ? jsonResponse(200, toJsonObject(*job)) : errorResponse(job.error());
}

http::Response OperatorApi::submitJob(const http::Request& request)
{
    const auto actor = actorOf(request);
    if (!actor)
        return errorResponse(actor.error());
    const auto spec = schema::parseJobSpec(request.body, "request");
    if (!spec)
        return malformed(spec.error());
    if (auto problems = m_parts.config.checkJob(*spec); !problems.empty())
        return errorResponse(JobError { JobErrorCode::Invalid, std::move(problems), std::nullopt });
    if (modeOf(request) == ApplyMode::Trial) {
        auto body = jsonObject();
        setField(body, "spec", toJsonObject(*spec));
        setField(body, "dry_run", true);
        return jsonResponse(200, body);
    }
    const auto job = m_parts.jobs.submit(*spec, *actor);
    return job ? jsonResponse(200, toJsonObject(*job)) : errorResponse(job.error());
}

} // namespace kingcuploom
