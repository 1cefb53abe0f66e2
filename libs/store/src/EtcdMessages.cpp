#include "EtcdMessages.h"

#include "http/Json.h"

namespace kingcuploom::store {

namespace {

    using http::boolField;
    using http::decodeBase64;
    using http::dumpJson;
    using http::encodeBase64;
    using http::field;
    using http::intField;
    using http::Json;
    using http::parseJson;
    using http::stringField;

    // Status of gRPC for an object that does not exist.
    constexpr std::int64_t grpcNotFound = 5;

    tl::unexpected<StoreError> protocolError(const char* detail)
    {
        return makeUnexpected(StoreError { StoreErrorCode::Protocol, detail, {} });
    }

    std::string text(std::int64_t number) { return std::to_string(number); }

    // First key behind all keys with the prefix.
    std::string rangeEnd(std::string prefix)
    {
        while (!prefix.empty() && prefix.back() == '\xff')
            prefix.pop_back();
        if (prefix.empty())
            return std::string(1, '\0');
        ++prefix.back();
        return prefix;
    }

    // Takes over "success".
    std::string transaction(const std::string& key, Revision expected, json_t* success)
    {
        const auto encodedKey = encodeBase64(key);
        const Json body(json_pack("{s:[{s:s, s:s, s:s, s:s}], s:[o], s:[{s:{s:s}}]}", "compare", "key", encodedKey.c_str(), "target", "MOD",
            "result", "EQUAL", "mod_revision", text(expected.value()).c_str(), "success", success, "failure", "request_range", "key",
            encodedKey.c_str()));
        return dumpJson(body.get());
    }

    KeyValue parseKeyValue(const json_t* json)
    {
        return { decodeBase64(stringField(json, "key")), decodeBase64(stringField(json, "value")),
            Revision(intField(json, "mod_revision")) };
    }

    std::vector<KeyValue> parseKeyValues(const json_t* array)
    {
        std::vector<KeyValue> result;
        result.reserve(json_array_size(array));
        for (std::size_t i = 0; i < json_array_size(array); ++i)
            result.push_back(parseKeyValue(json_array_get(array, i)));
        return result;
    }

    std::optional<KeyValue> currentEntry(const json_t* answer)
    {
        const auto* response = json_array_get(field(answer, "responses"), 0);
        const auto* entries = field(field(response, "response_range"), "kvs");
        if (json_array_size(entries) == 0)
            return std::nullopt;
        return parseKeyValue(json_array_get(entries, 0));
    }

    WatchEvent parseEvent(const json_t* json)
    {
        auto entry = parseKeyValue(field(json, "kv"));
        // PUT is the default value and may be absent.
        if (stringField(json, "type") == "DELETE")
            return { std::move(entry.key), std::nullopt, entry.modRevision };
        return { std::move(entry.key), std::move(entry.value), entry.modRevision };
    }

    Revision headerRevision(const json_t* answer) { return Revision(intField(field(answer, "header"), "revision")); }

} // namespace

std::string getRequest(const std::string& key)
{
    const Json body(json_pack("{s:s}", "key", encodeBase64(key).c_str()));
    return dumpJson(body.get());
}

std::string listRequest(const std::string& prefix, const std::string& begin, Revision newerThan, std::int64_t limit)
{
    const Json body(
        json_pack("{s:s, s:s, s:s, s:s}", "key", encodeBase64(begin).c_str(), "range_end", encodeBase64(rangeEnd(prefix)).c_str(),
            "min_mod_revision", text(newerThan.value() == 0 ? 0 : newerThan.value() + 1).c_str(), "limit", text(limit).c_str()));
    return dumpJson(body.get());
}

std::string putRequest(const std::string& key, Revision expected, const std::string& value, LeaseId lease)
{
    return transaction(key, expected,
        json_pack("{s:{s:s, s:s, s:s}}", "request_put", "key", encodeBase64(key).c_str(), "value", encodeBase64(value).c_str(), "lease",
            text(lease.value()).c_str()));
}

std::string deleteRequest(const std::string& key, Revision expected)
{
    return transaction(key, expected, json_pack("{s:{s:s}}", "request_delete_range", "key", encodeBase64(key).c_str()));
}

std::string grantRequest(std::chrono::seconds timeToLive)
{
    const Json body(json_pack("{s:s}", "TTL", text(timeToLive.count()).c_str()));
    return dumpJson(body.get());
}

std::string leaseRequest(LeaseId lease)
{
    const Json body(json_pack("{s:s}", "ID", text(lease.value()).c_str()));
    return dumpJson(body.get());
}

std::string watchRequest(const std::string& prefix, Revision from)
{
    const Json body(json_pack("{s:{s:s, s:s, s:s}}", "create_request", "key", encodeBase64(prefix).c_str(), "range_end",
        encodeBase64(rangeEnd(prefix)).c_str(), "start_revision", text(from.value()).c_str()));
    return dumpJson(body.get());
}

Expected<Listing, StoreError> parseListing(std::string_view answer)
{
    const auto json = parseJson(answer);
    const auto revision = headerRevision(json.get());
    if (revision == Revision())
        return protocolError("range answer without revision");
    return Listing { parseKeyValues(field(json.get(), "kvs")), revision };
}

bool hasMore(std::string_view answer) { return boolField(parseJson(answer).get(), "more"); }

Expected<Revision, StoreError> parseCommit(std::string_view answer)
{
    const auto json = parseJson(answer);
    const auto revision = headerRevision(json.get());
    if (revision == Revision())
        return protocolError("transaction answer without revision");
    if (!boolField(json.get(), "succeeded"))
        return makeUnexpected(StoreError { StoreErrorCode::Conflict, "", currentEntry(json.get()) });
    return revision;
}

Expected<LeaseId, StoreError> parseGrant(std::string_view answer)
{
    const auto json = parseJson(answer);
    const LeaseId lease(intField(json.get(), "ID"));
    if (lease == LeaseId())
        return protocolError("grant answer without lease");
    return lease;
}

Expected<void, StoreError> parseKeepAlive(std::string_view answer)
{
    const auto json = parseJson(answer);
    const auto* result = field(json.get(), "result");
    if (!result)
        return protocolError("keepalive answer without result");
    // etcd answers a renewal of an unknown lease with a time to live of 0.
    if (intField(result, "TTL") <= 0)
        return makeUnexpected(StoreError { StoreErrorCode::LeaseNotFound, "", {} });
    return {};
}

bool isLeaseNotFound(std::string_view answer)
{
    const auto json = parseJson(answer);
    return intField(json.get(), "code") == grpcNotFound;
}

Expected<WatchMessage, StoreError> parseWatchMessage(std::string_view line)
{
    const auto json = parseJson(line);
    const auto* result = field(json.get(), "result");
    if (!result)
        return protocolError("watch message without result");
    WatchMessage message;
    message.isCancelled = boolField(result, "canceled");
    const auto* events = field(result, "events");
    for (std::size_t i = 0; i < json_array_size(events); ++i)
        message.events.push_back(parseEvent(json_array_get(events, i)));
    return message;
}

} // namespace kingcuploom::store
