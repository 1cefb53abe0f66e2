#include "StoreMessages.h"

#include <algorithm>

namespace kingcuploom::testing {

namespace {

    using http::decodeBase64;
    using http::dumpJson;
    using http::encodeBase64;
    using http::field;
    using http::intField;
    using http::Json;
    using http::stringField;

    std::string toString(std::int64_t number) { return std::to_string(number); }

    json_t* header(std::int64_t revision) { return json_pack("{s:s}", "revision", toString(revision).c_str()); }

    // Omits fields with default values, as the JSON mapping of etcd does.
    json_t* keyValueToJson(const StoredEntry& entry)
    {
        auto* json = json_pack("{s:s, s:s}", "key", encodeBase64(entry.key).c_str(), "mod_revision", toString(entry.modRevision).c_str());
        const auto setIfNonZero = [json](const char* name, std::int64_t value) {
            if (value != 0)
                json_object_set_new(json, name, json_string(toString(value).c_str()));
        };
        setIfNonZero("create_revision", entry.createRevision);
        setIfNonZero("version", entry.version);
        setIfNonZero("lease", entry.lease);
        if (!entry.value.empty())
            json_object_set_new(json, "value", json_string(encodeBase64(entry.value).c_str()));
        return json;
    }

    json_t* keyValuesToJson(const std::vector<StoredEntry>& entries)
    {
        auto* array = json_array();
        std::ranges::for_each(entries, [array](const auto& entry) { json_array_append_new(array, keyValueToJson(entry)); });
        return array;
    }

    std::string toLine(const Json& json) { return dumpJson(json.get()) + "\n"; }

} // namespace

KeyRange parseRange(const json_t* json) { return { decodeBase64(stringField(json, "key")), decodeBase64(stringField(json, "range_end")) }; }

std::optional<Transaction> parseTransaction(const json_t* json)
{
    const auto* compare = json_array_get(field(json, "compare"), 0);
    const auto* operation = json_array_get(field(json, "success"), 0);
    if (stringField(compare, "target") != "MOD" || json_array_size(field(json, "compare")) != 1)
        return std::nullopt;
    Transaction result { decodeBase64(stringField(compare, "key")), intField(compare, "mod_revision"), std::nullopt, 0 };
    if (const auto* put = field(operation, "request_put")) {
        result.value = decodeBase64(stringField(put, "value"));
        result.lease = intField(put, "lease");
    } else if (!field(operation, "request_delete_range")) {
        return std::nullopt;
    }
    return result;
}

Json rangeResponse(const RangeResult& result)
{
    Json json(json_pack("{s:o, s:s}", "header", header(result.revision), "count", toString(std::ssize(result.entries)).c_str()));
    if (!result.entries.empty())
        json_object_set_new(json.get(), "kvs", keyValuesToJson(result.entries));
    if (result.hasMore)
        json_object_set_new(json.get(), "more", json_true());
    return json;
}

Json transactionResponse(const TransactionResult& result)
{
    if (result.outcome == TransactionOutcome::Written) {
        return Json(json_pack("{s:o, s:b, s:[{s:{s:o}}]}", "header", header(result.revision), "succeeded", 1, "responses", "response_put",
            "header", header(result.revision)));
    }
    std::vector<StoredEntry> entries;
    if (result.current)
        entries.push_back(*result.current);
    return Json(json_pack(
        "{s:o, s:[{s:{s:o}}]}", "header", header(result.revision), "responses", "response_range", "kvs", keyValuesToJson(entries)));
}

Json leaseNotFoundResponse()
{
    constexpr auto message = "etcdserver: requested lease not found";
    return Json(json_pack("{s:s, s:i, s:s}", "error", message, "code", 5, "message", message));
}

Json unavailableResponse()
{
    constexpr auto message = "etcdserver: no leader";
    return Json(json_pack("{s:s, s:i, s:s}", "error", message, "code", 14, "message", message));
}

std::string watchCreatedLine(std::int64_t revision)
{
    return toLine(Json(json_pack("{s:{s:o, s:b}}", "result", "header", header(revision), "created", 1)));
}

std::string watchCancelledLine(std::int64_t compactRevision)
{
    return toLine(Json(json_pack("{s:{s:o, s:b, s:s}}", "result", "header", header(compactRevision), "canceled", 1, "compact_revision",
        toString(compactRevision).c_str())));
}

std::string watchEventsLine(const std::vector<StoredEvent>& events)
{
    auto* array = json_array();
    for (const auto& event : events) {
        auto* json = json_pack("{s:o}", "kv", keyValueToJson(event.entry));
        if (event.isDelete)
            json_object_set_new(json, "type", json_string("DELETE"));
        json_array_append_new(array, json);
    }
    return toLine(Json(json_pack("{s:{s:o, s:o}}", "result", "header", header(events.back().entry.modRevision), "events", array)));
}

} // namespace kingcuploom::testing
