#include "OperatorJson.h"

#include "schema/JsonCodec.h"

#include <map>

namespace kingcuploom {

namespace {

    constexpr char nextInvalid[] = "correct the listed fields and repeat; nothing was stored";
    constexpr char nextNotFound[] = "list the existing names and repeat with one of them";
    constexpr char nextConflict[] = "compare both sides; to replace the current one, repeat with its revision";
    constexpr char nextStoreUnavailable[] = "nothing was stored; repeat when /v1/status shows a recent confirmation";
    constexpr char nextOutcomeUnknown[] = "read the object again; repeat the change only if it is not there";
    constexpr char nextJobConflict[] = "submit the changed specification under another name";

    struct ErrorText {
        int status;
        const char* code;
        const char* message;
        const char* next;
    };

    ErrorText textOf(ConfigErrorCode code)
    {
        switch (code) {
        case ConfigErrorCode::Invalid:
            return { 400, "invalid", "the resource was refused by the checks", nextInvalid };
        case ConfigErrorCode::NotFound:
            return { 404, "not_found", "no such resource", nextNotFound };
        case ConfigErrorCode::Conflict:
            return { 409, "conflict", "the resource has another revision than expected", nextConflict };
        case ConfigErrorCode::StoreUnavailable:
            return { 503, "store_unavailable", "the store cannot be reached", nextStoreUnavailable };
        case ConfigErrorCode::OutcomeUnknown:
            break;
        }
        return { 504, "outcome_unknown", "the store did not say whether the change was stored", nextOutcomeUnknown };
    }

    ErrorText textOf(JobErrorCode code)
    {
        switch (code) {
        case JobErrorCode::Invalid:
            return { 400, "invalid", "the job was refused by the checks", nextInvalid };
        case JobErrorCode::NotFound:
            return { 404, "not_found", "no such job, request class or worker", nextNotFound };
        case JobErrorCode::Conflict:
            return { 409, "conflict", "a job of this name exists with another specification", nextJobConflict };
        case JobErrorCode::StoreUnavailable:
            return { 503, "store_unavailable", "the store cannot be reached", nextStoreUnavailable };
        case JobErrorCode::OutcomeUnknown:
            break;
        }
        return { 504, "outcome_unknown", "the store did not say whether the change was stored", nextOutcomeUnknown };
    }

    Json errorFields(const char* code, const std::string& message, const char* next)
    {
        auto error = jsonObject();
        setField(error, "code", code);
        setField(error, "message", message);
        setField(error, "next", next);
        return error;
    }

    Json wrapError(Json error)
    {
        auto body = jsonObject();
        setField(body, "error", std::move(error));
        return body;
    }

    Json toJsonList(const std::vector<resources::Problem>& problems)
    {
        auto list = jsonArray();
        for (const auto& problem : problems) {
            auto item = jsonObject();
            setField(item, "code", resources::toString(problem.code));
            setField(item, "field", problem.field);
            setField(item, "value", problem.value);
            setField(item, "allowed", problem.allowed);
            appendValue(list, std::move(item));
        }
        return list;
    }

    http::Response errorStatusResponse(int status, Json error)
    {
        auto response = jsonResponse(status, wrapError(std::move(error)));
        if (status == 503)
            response.headers.emplace_back("Retry-After", "1");
        return response;
    }

    Json parseObject(const std::string& text)
    {
        auto* value = json_loadb(text.data(), text.size(), 0, nullptr);
        return Json(value ? value : json_object());
    }

    const char* stateOf(const schema::JobRecordT& job)
    {
        if (job.done)
            return job.cancelled ? "cancelled" : "done";
        return job.cancelled ? "cancelling" : "active";
    }

    Json toJsonObject(const schema::JobTaskT& task, std::size_t index)
    {
        auto item = jsonObject();
        setField(item, "index", std::uint64_t(index));
        setField(item, "state", schema::EnumNameTaskState(task.state));
        setField(item, "attempt", task.attempt);
        setField(item, "shard", task.shard);
        setField(item, "checkpoint", task.checkpoint);
        setField(item, "end_reason", schema::EnumNameEndReason(task.end_reason));
        return item;
    }

} // namespace

http::Response jsonResponse(int status, const Json& body)
{
    return { status, { { "Content-Type", "application/json" } }, dumpJson(body) + "\n" };
}

http::Response errorResponse(const ApiError& error)
{
    return errorStatusResponse(error.status, errorFields(error.code, error.message, error.next));
}

std::string errorLine(const ApiError& error) { return dumpJson(wrapError(errorFields(error.code, error.message, error.next))) + "\n"; }

http::Response errorResponse(const ConfigError& failure)
{
    const auto text = textOf(failure.code);
    auto error = errorFields(text.code, text.message, text.next);
    if (!failure.problems.empty())
        setField(error, "problems", toJsonList(failure.problems));
    if (failure.submitted)
        setField(error, "submitted", toJsonObject(*failure.submitted));
    if (failure.current)
        setField(error, "current", toJsonObject(*failure.current));
    setField(error, "current_revision", failure.currentRevision.value());
    return errorStatusResponse(text.status, std::move(error));
}

http::Response errorResponse(const JobError& failure)
{
    const auto text = textOf(failure.code);
    auto error = errorFields(text.code, text.message, text.next);
    if (!failure.problems.empty())
        setField(error, "problems", toJsonList(failure.problems));
    if (failure.current && failure.current->spec)
        setField(error, "current", toJsonObject(*failure.current->spec));
    return errorStatusResponse(text.status, std::move(error));
}

Json toJsonObject(const schema::ResourceT& resource)
{
    auto shown = resource;
    // jansson has no unsigned integers and refuses a text with a larger one.
    shown.write_id = 0;
    auto object = parseObject(schema::toJson(shown));
    // Internal to the store; the revision identifies a change towards operators.
    json_object_del(object.get(), "write_id");
    json_object_del(object.get(), "deleted");
    return object;
}

Json toJsonObject(const schema::JobSpecT& spec) { return parseObject(schema::toJson(spec)); }

Json toJsonObject(const DeclaredResource& declared)
{
    auto object = jsonObject();
    setField(object, "revision", declared.revision.value());
    setField(object, "resource", toJsonObject(*declared.resource));
    return object;
}

Json toJsonObject(const schema::AuditEventT& event)
{
    auto object = jsonObject();
    setField(object, "time_ms", event.time_ms);
    setField(object, "daemon", event.daemon);
    setField(object, "actor", event.actor);
    setField(object, "object", event.object);
    setField(object, "action", event.action);
    setField(object, "reason", event.reason);
    setField(object, "revision_before", event.revision_before);
    setField(object, "revision_after", event.revision_after);
    setField(object, "figures", event.figures);
    return object;
}

Json toJsonObject(const Explanation& explanation)
{
    auto object = jsonObject();
    setField(object, "state", explanation.state);
    auto reasons = jsonArray();
    for (const auto& reason : explanation.reasons) {
        auto item = jsonObject();
        setField(item, "code", reason.code);
        setField(item, "figures", reason.figures);
        setField(item, "next", reason.next);
        appendValue(reasons, std::move(item));
    }
    setField(object, "reasons", std::move(reasons));
    return object;
}

Json toJsonSummary(const schema::JobRecordT& job)
{
    std::map<std::string, std::int64_t> counts;
    for (const auto& task : job.tasks)
        ++counts[schema::EnumNameTaskState(task->state)];
    auto states = jsonObject();
    for (const auto& [state, count] : counts)
        setField(states, state.c_str(), count);
    auto object = jsonObject();
    setField(object, "name", job.spec ? job.spec->name : "");
    setField(object, "team", job.spec ? job.spec->team : "");
    setField(object, "kind", job.spec ? schema::EnumNameJobKind(job.spec->kind) : "");
    setField(object, "state", stateOf(job));
    setField(object, "done", job.done);
    setField(object, "cancelled", job.cancelled);
    setField(object, "submitted_by", job.submitted_by);
    setField(object, "task_states", std::move(states));
    return object;
}

Json toJsonObject(const schema::JobRecordT& job)
{
    auto object = toJsonSummary(job);
    if (job.spec)
        setField(object, "spec", toJsonObject(*job.spec));
    auto tasks = jsonArray();
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        appendValue(tasks, toJsonObject(*job.tasks[i], i));
    setField(object, "tasks", std::move(tasks));
    return object;
}

Json toJsonObject(const resources::Change& change)
{
    const bool isPresent = change.resource && !change.resource->deleted;
    auto object = jsonObject();
    setField(object, "type", isPresent ? "changed" : "removed");
    setField(object, "revision", change.revision.value());
    setField(object, "kind", resources::toString(change.key.kind));
    setField(object, "name", change.key.name);
    if (isPresent)
        setField(object, "resource", toJsonObject(*change.resource));
    return object;
}

} // namespace kingcuploom
