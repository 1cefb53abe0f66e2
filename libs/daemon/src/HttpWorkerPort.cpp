#include "HttpWorkerPort.h"

#include <cstdlib>
#include <jansson.h>

namespace kingcuploom {

using ledger::AttemptKey;
using ledger::ReportedState;
using ledger::TaskReport;

namespace {

    struct JsonRelease {
        void operator()(json_t* value) const { json_decref(value); }
    };
    using Json = std::unique_ptr<json_t, JsonRelease>;

    std::string dump(const Json& value)
    {
        const std::unique_ptr<char, decltype(&std::free)> text(json_dumps(value.get(), JSON_COMPACT), &std::free);
        return text ? text.get() : "";
    }

    Json parse(const std::string& text) { return Json(json_loadb(text.data(), text.size(), 0, nullptr)); }

    std::string textOf(const json_t* object, const char* key)
    {
        const char* text = json_string_value(json_object_get(object, key));
        return text ? text : "";
    }

    json_int_t numberOf(const json_t* object, const char* key) { return json_integer_value(json_object_get(object, key)); }

    json_t* attemptJson(const AttemptKey& key)
    {
        return json_pack("{s:s, s:I}", "task", toString(key.task).c_str(), "attempt", static_cast<json_int_t>(key.attempt.value()));
    }

    json_t* attemptsJson(const std::vector<AttemptKey>& keys)
    {
        json_t* list = json_array();
        for (const auto& key : keys)
            json_array_append_new(list, attemptJson(key));
        return list;
    }

    std::optional<ReportedState> reportedState(const std::string& text)
    {
        if (text == "running")
            return ReportedState::Running;
        if (text == "finished")
            return ReportedState::Finished;
        if (text == "failed")
            return ReportedState::Failed;
        if (text == "stopped")
            return ReportedState::Stopped;
        if (text == "lapsed")
            return ReportedState::Lapsed;
        return std::nullopt;
    }

    WorkerErrorCode refusalCode(const std::string& text)
    {
        if (text == "stale_epoch")
            return WorkerErrorCode::StaleEpoch;
        if (text == "stale_attempt")
            return WorkerErrorCode::StaleAttempt;
        if (text == "expired")
            return WorkerErrorCode::Expired;
        return WorkerErrorCode::Protocol;
    }

    tl::unexpected<WorkerError> protocolError(const std::string& detail)
    {
        return makeUnexpected(WorkerError { WorkerErrorCode::Protocol, detail });
    }

    Expected<std::vector<TaskReport>, WorkerError> parseReports(const json_t* list)
    {
        std::vector<TaskReport> reports;
        std::size_t index = 0;
        json_t* item = nullptr;
        json_array_foreach(list, index, item)
        {
            const auto state = reportedState(textOf(item, "state"));
            if (!state)
                return protocolError("state " + textOf(item, "state"));
            const AttemptKey key { parseTaskId(textOf(item, "task")), Attempt(static_cast<std::uint32_t>(numberOf(item, "attempt"))) };
            reports.push_back({ key, *state, static_cast<std::uint64_t>(numberOf(item, "checkpoint")) });
        }
        return reports;
    }

    std::vector<TaskUsage> parseUsage(const json_t* list)
    {
        std::vector<TaskUsage> usage;
        std::size_t index = 0;
        json_t* item = nullptr;
        json_array_foreach(list, index, item)
        {
            const ResourceAmounts observed { CpuMillis(numberOf(item, "cpu_millis")), MemoryMb(numberOf(item, "memory_mb")), {} };
            const json_t* slowdown = json_object_get(item, "slowdown");
            usage.push_back({ parseTaskId(textOf(item, "task")), observed, json_is_number(slowdown) ? json_number_value(slowdown) : 1 });
        }
        return usage;
    }

} // namespace

Expected<std::string, WorkerError> HttpWorkerPort::post(
    const std::string& url, const std::string& path, std::string body, Milliseconds timeout)
{
    const http::Request request { "POST", path, { { "Content-Type", "application/json" } }, std::move(body) };
    http::CallOptions options;
    options.timeout = timeout;
    const auto response = m_client.call(url, request, options);
    if (!response) {
        const bool isNotSent = http::isNotSent(response.error().code);
        return makeUnexpected(
            WorkerError { isNotSent ? WorkerErrorCode::NotSent : WorkerErrorCode::OutcomeUnknown, response.error().detail });
    }
    if (response->status == 200)
        return response->body;
    if (response->status == 409)
        return makeUnexpected(WorkerError { refusalCode(textOf(parse(response->body).get(), "error")), response->body });
    // The worker's server failed; whether it handled the call before is not known.
    if (response->status >= 500)
        return makeUnexpected(WorkerError { WorkerErrorCode::OutcomeUnknown, "status " + std::to_string(response->status) });
    return protocolError("status " + std::to_string(response->status));
}

Expected<void, WorkerError> HttpWorkerPort::start(const std::string& url, const StartCall& call)
{
    const Json body(json_pack("{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:s}", "shard", call.shard.value().c_str(), "task",
        toString(call.key.task).c_str(), "attempt", static_cast<json_int_t>(call.key.attempt.value()), "epoch",
        static_cast<json_int_t>(call.epoch.value()), "cpu_millis", static_cast<json_int_t>(call.demand.cpu.value()), "memory_mb",
        static_cast<json_int_t>(call.demand.memory.value()), "accelerators", static_cast<json_int_t>(call.demand.accelerators.value()),
        "lease_ms", static_cast<json_int_t>(call.lease.count()), "valid_ms", static_cast<json_int_t>(call.validFor.count()), "work_ms",
        static_cast<json_int_t>(call.work.count()), "checkpoint", static_cast<json_int_t>(call.checkpoint), "class",
        call.className.c_str()));
    const auto answer = post(url, "/v1/start", dump(body), m_timeouts.start);
    if (!answer)
        return makeUnexpected(answer.error());
    return {};
}

Expected<SyncAnswer, WorkerError> HttpWorkerPort::sync(const std::string& url, const SyncCall& call)
{
    const Json body(json_pack("{s:s, s:I, s:I, s:o, s:o}", "shard", call.shard.value().c_str(), "epoch",
        static_cast<json_int_t>(call.epoch.value()), "lease_ms", static_cast<json_int_t>(call.lease.count()), "renew",
        attemptsJson(call.renew), "ack", attemptsJson(call.acknowledge)));
    const auto text = post(url, "/v1/sync", dump(body), m_timeouts.call);
    if (!text)
        return makeUnexpected(text.error());
    const auto json = parse(*text);
    if (!json_is_array(json_object_get(json.get(), "tasks")))
        return protocolError("sync answer without tasks");
    auto reports = parseReports(json_object_get(json.get(), "tasks"));
    if (!reports)
        return makeUnexpected(reports.error());
    SyncAnswer answer;
    answer.epoch = Epoch(static_cast<std::uint64_t>(numberOf(json.get(), "epoch")));
    answer.reports = std::move(*reports);
    answer.usage = parseUsage(json_object_get(json.get(), "usage"));
    answer.usageAge = Milliseconds(numberOf(json.get(), "usage_age_ms"));
    return answer;
}

Expected<std::uint64_t, WorkerError> HttpWorkerPort::stop(const std::string& url, const StopCall& call)
{
    const Json body(json_pack("{s:s, s:s, s:I, s:I}", "shard", call.shard.value().c_str(), "task", toString(call.key.task).c_str(),
        "attempt", static_cast<json_int_t>(call.key.attempt.value()), "epoch", static_cast<json_int_t>(call.epoch.value())));
    const auto text = post(url, "/v1/stop", dump(body), m_timeouts.call);
    if (!text)
        return makeUnexpected(text.error());
    return static_cast<std::uint64_t>(numberOf(parse(*text).get(), "checkpoint"));
}

Expected<void, WorkerError> HttpWorkerPort::throttle(const std::string& url, const ThrottleCall& call)
{
    const Json body(json_pack("{s:s, s:s, s:I, s:I, s:I}", "shard", call.shard.value().c_str(), "task", toString(call.key.task).c_str(),
        "attempt", static_cast<json_int_t>(call.key.attempt.value()), "epoch", static_cast<json_int_t>(call.epoch.value()), "share",
        static_cast<json_int_t>(call.sharePerMille)));
    const auto answer = post(url, "/v1/throttle", dump(body), m_timeouts.call);
    if (!answer)
        return makeUnexpected(answer.error());
    return {};
}

} // namespace kingcuploom
