#include "OperatorJson.h"
#include "OperatorParameters.h"
#include "base/Log.h"
#include "daemon/OperatorApi.h"

namespace kingcuploom {

namespace {

    // Within this time the stop of the daemon is noticed.
    constexpr auto waitStep = Milliseconds(500);

    // A line is sent at least this often, so that both sides notice a dead connection.
    constexpr int stepsPerProgressLine = 10;

    http::StreamResponse single(const ApiError& error)
    {
        auto line = std::make_shared<std::string>(errorLine(error));
        return { error.status, { { "Content-Type", "application/json" } }, [line] { return std::exchange(*line, {}); } };
    }

    std::string progressLine(Revision revision)
    {
        auto object = jsonObject();
        setField(object, "type", "progress");
        setField(object, "revision", revision.value());
        return dumpJson(object) + "\n";
    }

    ApiError tooOld()
    {
        return { 410, "too_old", "the changes after this revision are no longer all known",
            "list the resources again and watch from the listed revision" };
    }

} // namespace

// One open watch; used by the thread of its connection. Others only set isEnded.
struct OperatorApi::WatchState {
    explicit WatchState(std::atomic<int>& count)
        : openWatches(count)
    {
    }
    ~WatchState() { --openWatches; }
    WatchState(const WatchState&) = delete;
    WatchState& operator=(const WatchState&) = delete;

    std::atomic<int>& openWatches;
    Revision cursor;
    std::optional<schema::ResourceKind> kind;
    std::atomic<bool> isEnded = false;
};

http::StreamResponse OperatorApi::handleWatch(const http::Request& request)
{
    if (!hasKey(request)) {
        logEvent(LogLevel::Warning, "operator_key_refused", { { "method", request.method }, { "path", "/v1/watch" } });
        return single(keyRefused());
    }
    if (pathOnly(request.path) != "/v1/watch")
        return single(noSuchRoute());
    const auto kind = http::queryValue(request.path, "kind");
    const auto revision = numberParameter(request, "revision", m_parts.config.list().revision.value());
    if (!revision)
        return single(revision.error());
    if (!kind.empty() && !resources::parseKind(kind))
        return single({ 400, "malformed", "parameter kind is unknown", "use service, failure_domain, team or policy" });
    if (++m_openWatches > maxWatches) {
        --m_openWatches;
        return single({ 503, "too_many_watches", "this daemon serves no further watch", "use another entry VM or end a watch" });
    }
    const auto state = std::make_shared<WatchState>(m_openWatches);
    state->cursor = Revision(*revision);
    state->kind = resources::parseKind(kind);
    if (!m_parts.config.waitForChanges(state->cursor, Milliseconds(0)))
        return single(tooOld());
    return { 200, { { "Content-Type", "application/x-ndjson" } }, [this, state] { return nextWatchPiece(*state); },
        [state] { state->isEnded = true; } };
}

std::string OperatorApi::nextWatchPiece(WatchState& state) const
{
    for (int step = 0; step < stepsPerProgressLine && !m_isStopping && !state.isEnded; ++step) {
        const auto changes = m_parts.config.waitForChanges(state.cursor, waitStep);
        if (!changes) {
            state.isEnded = true;
            return errorLine(tooOld());
        }
        std::string lines;
        for (const auto& change : *changes) {
            state.cursor = change.revision;
            if (!state.kind || *state.kind == change.key.kind)
                lines += dumpJson(toJsonObject(change)) + "\n";
        }
        if (!lines.empty())
            return lines;
    }
    if (m_isStopping || state.isEnded)
        return {};
    return progressLine(state.cursor);
}

} // namespace kingcuploom
