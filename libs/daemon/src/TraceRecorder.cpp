#include "daemon/TraceRecorder.h"

#include "Json.h"
#include "schema/JsonCodec.h"

#include <numeric>

namespace kingcuploom {

namespace {

    constexpr std::string_view callPrefix = "/v1/call/";
    constexpr std::string_view jobsPath = "/v1/jobs";
    constexpr std::string_view domainPrefix = "/v1/resources/failure_domain/";

    std::string_view withoutQuery(const std::string& path) { return std::string_view(path).substr(0, path.find('?')); }

    std::string serviceOf(const std::string& path)
    {
        const auto rest = withoutQuery(path).substr(callPrefix.size());
        return std::string(rest.substr(0, rest.find('/')));
    }

    bool isTrial(const http::Request& request) { return http::queryValue(request.path, "dry_run") == "true"; }

    Json makeEvent(const char* name, std::int64_t atMs)
    {
        auto event = jsonObject();
        setField(event, "at_ms", atMs);
        setField(event, "event", name);
        return event;
    }

    std::string toLine(const Json& event)
    {
        const std::unique_ptr<char, decltype(&std::free)> text(json_dumps(event.get(), JSON_COMPACT), &std::free);
        return text ? text.get() : "";
    }

    // Event of a change of a failure domain, empty when the body is not one.
    Json domainEvent(const http::Request& request, const std::string& domain, std::int64_t atMs)
    {
        const auto resource = schema::parseResource(request.body, "trace");
        if (!resource || !resource->failure_domain)
            return nullptr;
        const bool isOut = resource->failure_domain->state == schema::DomainState::OutOfService;
        auto event = makeEvent(isOut ? "drain" : "restore", atMs);
        setField(event, "domain", domain);
        if (isOut)
            setField(event, "reason", resource->failure_domain->reason);
        return event;
    }

    Json jobEvent(const http::Request& request, std::string_view path, std::int64_t atMs)
    {
        if (request.method == "POST") {
            auto event = makeEvent("submit", atMs);
            setField(event, "job", Json(json_loadb(request.body.data(), request.body.size(), 0, nullptr)));
            return event;
        }
        if (request.method != "DELETE" || path.size() <= jobsPath.size() + 1)
            return nullptr;
        auto event = makeEvent("cancel", atMs);
        setField(event, "name", std::string(path.substr(jobsPath.size() + 1)));
        return event;
    }

} // namespace

TraceRecorder::TraceRecorder(const Clock& clock, std::size_t limit)
    : m_clock(clock)
    , m_limit(limit)
{
}

std::int64_t TraceRecorder::millisecondsBefore(Milliseconds age) const
{
    return std::chrono::duration_cast<Milliseconds>(m_clock.wallNow().time_since_epoch()).count() - age.count();
}

void TraceRecorder::recordCall(const http::Request& request, const http::Response& response, MonotonicTime arrivedAt)
{
    if (m_limit == 0 || !request.path.starts_with(callPrefix))
        return;
    const auto duration = std::chrono::duration_cast<Milliseconds>(m_clock.now() - arrivedAt);
    auto event = makeEvent("call", millisecondsBefore(duration));
    setField(event, "service", serviceOf(request.path));
    setField(event, "team", http::headerValue(request.headers, "X-Kingcuploom-Team"));
    setField(event, "method", request.method);
    setField(event, "work_ms", std::int64_t(duration.count()));
    const auto deadline = http::headerValue(request.headers, "X-Kingcuploom-Deadline-Ms");
    if (!deadline.empty())
        setField(event, "deadline_ms", std::int64_t(std::atoll(deadline.c_str())));
    setField(event, "body_bytes", std::int64_t(request.body.size()));
    setField(event, "status", std::int64_t(response.status));
    add(toLine(event));
}

void TraceRecorder::recordChange(const http::Request& request)
{
    if (m_limit == 0 || request.method == "GET" || isTrial(request))
        return;
    const auto path = withoutQuery(request.path);
    const auto atMs = millisecondsBefore(Milliseconds(0));
    Json event;
    if (path.starts_with(domainPrefix) && request.method == "PUT")
        event = domainEvent(request, std::string(path.substr(domainPrefix.size())), atMs);
    else if (path.starts_with(jobsPath))
        event = jobEvent(request, path, atMs);
    if (event)
        add(toLine(event));
}

void TraceRecorder::add(std::string line)
{
    const std::scoped_lock lock(m_mutex);
    m_lines.push_back(std::move(line));
    if (m_lines.size() > m_limit)
        m_lines.pop_front();
}

std::string TraceRecorder::lines() const
{
    const std::scoped_lock lock(m_mutex);
    return std::accumulate(m_lines.begin(), m_lines.end(), std::string(), [](std::string text, const std::string& line) {
        text += line;
        text += '\n';
        return text;
    });
}

} // namespace kingcuploom
