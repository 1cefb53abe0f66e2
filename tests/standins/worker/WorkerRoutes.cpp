#include "WorkerRoutes.h"

#include <cstdlib>
#include <jansson.h>
#include <thread>

namespace kingcuploom::testing {

using http::Request;
using http::Response;

namespace {

    struct JsonDeleter {
        void operator()(json_t* value) const { json_decref(value); }
    };
    using Json = std::unique_ptr<json_t, JsonDeleter>;

    // An unreachable worker ignores the call and responds with 503 after this delay, by which the caller has timed out, or as soon as
    // it is reachable again.
    constexpr Milliseconds unreachableDelay { 5000 };
    constexpr Milliseconds reachableCheckInterval { 50 };

    Response respond(int status, const Json& json)
    {
        const std::unique_ptr<char, decltype(&std::free)> text(json_dumps(json.get(), JSON_COMPACT), &std::free);
        return { status, { { "Content-Type", "application/json" } }, text ? text.get() : "" };
    }

    Response respondRefusal(WorkerRefusal refusal) { return respond(409, Json(json_pack("{s:s}", "error", toString(refusal)))); }

    json_int_t getInteger(const json_t* object, const char* key) { return json_integer_value(json_object_get(object, key)); }

    std::string getString(const json_t* object, const char* key)
    {
        const char* text = json_string_value(json_object_get(object, key));
        return text ? text : "";
    }

    Milliseconds getMilliseconds(const json_t* object, const char* key) { return Milliseconds(getInteger(object, key)); }
    ShardId parseShardId(const json_t* object) { return ShardId(getString(object, "shard")); }
    Epoch parseEpoch(const json_t* object) { return Epoch(static_cast<std::uint64_t>(getInteger(object, "epoch"))); }
    RunKey parseRunKey(const json_t* object)
    {
        return { parseTaskId(getString(object, "task")), Attempt(static_cast<std::uint32_t>(getInteger(object, "attempt"))) };
    }

    std::vector<RunKey> parseRunKeys(const json_t* list)
    {
        std::vector<RunKey> keys;
        std::size_t index = 0;
        json_t* item = nullptr;
        json_array_foreach(list, index, item) { keys.push_back(parseRunKey(item)); }
        return keys;
    }

    json_int_t toUnixMilliseconds(WallTime time) { return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count(); }

    json_t* amountsToJson(const ResourceAmounts& amounts)
    {
        return json_pack("{s:I, s:I, s:I}", "cpu_millis", static_cast<json_int_t>(amounts.cpu.value()), "memory_mb",
            static_cast<json_int_t>(amounts.memory.value()), "accelerators", static_cast<json_int_t>(amounts.accelerators.value()));
    }

    json_t* runKeyToJson(const RunKey& key)
    {
        return json_pack("{s:s, s:I}", "task", toString(key.task).c_str(), "attempt", static_cast<json_int_t>(key.attempt.value()));
    }

    Response handleStart(WorkerModel& model, const json_t* body)
    {
        RunOrder order;
        order.shard = parseShardId(body);
        order.key = parseRunKey(body);
        order.epoch = parseEpoch(body);
        order.demand = { CpuMillis(getInteger(body, "cpu_millis")), MemoryMb(getInteger(body, "memory_mb")),
            Accelerators(getInteger(body, "accelerators")) };
        order.lease = getMilliseconds(body, "lease_ms");
        order.validFor = getMilliseconds(body, "valid_ms");
        order.work = getMilliseconds(body, "work_ms");
        order.checkpoint = static_cast<std::uint64_t>(getInteger(body, "checkpoint"));
        order.className = getString(body, "class");
        const auto result = model.start(order);
        return result ? respond(200, Json(json_pack("{s:b}", "started", 1))) : respondRefusal(result.error());
    }

    Response handleSync(WorkerModel& model, const json_t* body)
    {
        const auto report = model.sync({ parseShardId(body), parseEpoch(body), getMilliseconds(body, "lease_ms"),
            parseRunKeys(json_object_get(body, "renew")), parseRunKeys(json_object_get(body, "ack")) });
        if (!report)
            return respondRefusal(report.error());
        json_t* tasks = json_array();
        for (const auto& run : report->runs) {
            json_t* item = runKeyToJson(run.key);
            json_object_set_new(item, "state", json_string(toString(run.state)));
            json_object_set_new(item, "checkpoint", json_integer(static_cast<json_int_t>(run.checkpoint)));
            json_array_append_new(tasks, item);
        }
        json_t* usage = json_array();
        for (const auto& use : report->usage) {
            json_t* item = amountsToJson(use.amounts);
            json_object_set_new(item, "task", json_string(toString(use.task).c_str()));
            json_object_set_new(item, "slowdown", json_real(use.slowdown));
            json_array_append_new(usage, item);
        }
        return respond(200,
            Json(json_pack("{s:I, s:o, s:o, s:I}", "epoch", static_cast<json_int_t>(report->epoch.value()), "tasks", tasks, "usage", usage,
                "usage_age_ms", static_cast<json_int_t>(report->usageAge.count()))));
    }

    Response respondCheckpoint(const Expected<std::uint64_t, WorkerRefusal>& result)
    {
        if (!result)
            return respondRefusal(result.error());
        return respond(200, Json(json_pack("{s:I}", "checkpoint", static_cast<json_int_t>(*result))));
    }

    Response handleStop(WorkerModel& model, const json_t* body)
    {
        return respondCheckpoint(model.stop(parseShardId(body), parseEpoch(body), parseRunKey(body)));
    }

    Response handleCheckpoint(WorkerModel& model, const json_t* body)
    {
        return respondCheckpoint(model.checkpoint(parseShardId(body), parseEpoch(body), parseRunKey(body)));
    }

    Response handleThrottle(WorkerModel& model, const json_t* body)
    {
        const auto share = static_cast<unsigned>(std::max<json_int_t>(0, getInteger(body, "share")));
        const auto result = model.throttle(parseShardId(body), parseEpoch(body), parseRunKey(body), share);
        return result ? respond(200, Json(json_object())) : respondRefusal(result.error());
    }

    Response handleRecord(WorkerModel& model)
    {
        const auto record = model.record();
        json_t* starts = json_array();
        for (const auto& event : record.starts) {
            json_t* item = runKeyToJson(event.key);
            json_object_set_new(item, "epoch", json_integer(static_cast<json_int_t>(event.epoch.value())));
            json_object_set_new(item, "shard", json_string(event.shard.value().c_str()));
            json_object_set_new(item, "time_ms", json_integer(toUnixMilliseconds(event.at)));
            json_array_append_new(starts, item);
        }
        json_t* ends = json_array();
        for (const auto& event : record.ends) {
            json_t* item = runKeyToJson(event.key);
            json_object_set_new(item, "state", json_string(toString(event.state)));
            json_object_set_new(item, "checkpoint", json_integer(static_cast<json_int_t>(event.checkpoint)));
            json_object_set_new(item, "time_ms", json_integer(toUnixMilliseconds(event.at)));
            json_array_append_new(ends, item);
        }
        return respond(200,
            Json(json_pack("{s:o, s:o, s:o, s:o, s:b, s:I, s:I, s:I, s:f}", "starts", starts, "ends", ends, "capacity",
                amountsToJson(record.capacity), "peak", amountsToJson(record.peak), "ran_twice_at_once", record.ranTwiceAtOnce ? 1 : 0,
                "syncs", static_cast<json_int_t>(record.syncs), "refusals", static_cast<json_int_t>(record.refusals), "throttles",
                static_cast<json_int_t>(record.throttles), "slowdown", record.slowdown)));
    }

    std::map<std::string, double> parseFactors(json_t* object)
    {
        std::map<std::string, double> factors;
        const char* name = nullptr;
        json_t* factor = nullptr;
        json_object_foreach(object, name, factor) { factors[name] = json_number_value(factor); }
        return factors;
    }

    // Absent fields keep their current value.
    Response handleBehaviour(WorkerModel& model, const json_t* body)
    {
        auto behaviour = model.behaviour();
        if (const json_t* value = json_object_get(body, "fail_all"))
            behaviour.failAll = json_is_true(value);
        if (const json_t* value = json_object_get(body, "unreachable"))
            behaviour.unreachable = json_is_true(value);
        if (json_object_get(body, "extra_ms"))
            behaviour.extra = getMilliseconds(body, "extra_ms");
        if (json_object_get(body, "lag_ms"))
            behaviour.lag = getMilliseconds(body, "lag_ms");
        if (json_object_get(body, "use_per_mille"))
            behaviour.usePerMille = static_cast<unsigned>(getInteger(body, "use_per_mille"));
        if (json_object_get(body, "failing_class"))
            behaviour.failingClass = getString(body, "failing_class");
        if (json_object_get(body, "slowdowns"))
            behaviour.slowdowns = parseFactors(json_object_get(body, "slowdowns"));
        if (json_object_get(body, "fixed_slowdowns"))
            behaviour.fixedSlowdowns = parseFactors(json_object_get(body, "fixed_slowdowns"));
        model.setBehaviour(behaviour);
        return respond(200, Json(json_object()));
    }

    using JsonHandler = Response (*)(WorkerModel&, const json_t*);

    http::Handler withJsonBody(WorkerModel& model, JsonHandler handle)
    {
        return [&model, handle](const Request& request) -> Response {
            const Json body(json_loadb(request.body.data(), request.body.size(), 0, nullptr));
            if (!json_is_object(body.get()))
                return respond(400, Json(json_pack("{s:s}", "error", "not_json")));
            return handle(model, body.get());
        };
    }

    http::Handler whenReachable(WorkerModel& model, const http::Handler& handler)
    {
        return [&model, handler](const Request& request) -> Response {
            if (!model.behaviour().unreachable)
                return handler(request);
            for (auto waited = Milliseconds(0); waited < unreachableDelay && model.behaviour().unreachable;
                 waited += reachableCheckInterval)
                std::this_thread::sleep_for(reachableCheckInterval);
            return { 503, {}, "" };
        };
    }

} // namespace

void addWorkerRoutes(http::HttpServer& server, WorkerModel& model)
{
    const std::pair<const char*, JsonHandler> calls[] = {
        { "/v1/start", handleStart },
        { "/v1/sync", handleSync },
        { "/v1/stop", handleStop },
        { "/v1/checkpoint", handleCheckpoint },
        { "/v1/throttle", handleThrottle },
    };
    for (const auto& [path, handle] : calls)
        server.route("POST", path, whenReachable(model, withJsonBody(model, handle)));
    server.route("GET", "/admin/record", [&model](const Request&) { return handleRecord(model); });
    server.route("PUT", "/admin/behaviour", withJsonBody(model, handleBehaviour));
}

} // namespace kingcuploom::testing
