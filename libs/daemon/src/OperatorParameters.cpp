#include "OperatorParameters.h"

#include "daemon/OperatorApi.h"

#include <algorithm>
#include <charconv>

namespace kingcuploom {

namespace {

    constexpr std::size_t maxActorLength = 64;

    std::optional<std::int64_t> parseNumber(const std::string& text)
    {
        std::int64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc() || end != text.data() + text.size() || number < 0)
            return std::nullopt;
        return number;
    }

} // namespace

std::string pathOnly(const std::string& path) { return path.substr(0, path.find('?')); }

std::optional<std::string> restBelow(const std::string& path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return std::nullopt;
    const auto rest = path.substr(prefix.size());
    if (rest.empty() || rest == "/")
        return "";
    return rest.front() == '/' ? std::optional(rest.substr(1)) : std::nullopt;
}

// Compares all bytes whatever the first difference is, so that the time of the answer tells nothing about the key.
bool isEqualInConstantTime(const std::string& given, const std::string& expected)
{
    unsigned difference = given.size() == expected.size() ? 0 : 1;
    for (std::size_t i = 0; i < given.size(); ++i)
        difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(expected[i % expected.size()]);
    const volatile unsigned result = difference;
    return result == 0;
}

Expected<std::int64_t, ApiError> numberParameter(const http::Request& request, const std::string& name, std::int64_t fallback)
{
    const auto text = http::queryValue(request.path, name);
    if (text.empty())
        return fallback;
    if (const auto number = parseNumber(text))
        return *number;
    return makeUnexpected(ApiError { 400, "malformed", "parameter " + name + " is not a number", "use a number from 0" });
}

ApplyMode modeOf(const http::Request& request)
{
    return http::queryValue(request.path, "dry_run") == "true" ? ApplyMode::Trial : ApplyMode::Store;
}

ApiError keyRefused()
{
    return { 401, "key_refused", "the header X-Kingcuploom-Key is missing or wrong", "use the operator key of this installation" };
}

ApiError noSuchRoute() { return { 404, "no_such_route", "no such path", "see docs/OPERATIONS.md for the paths" }; }

Expected<std::string, ApiError> actorOf(const http::Request& request)
{
    const auto isAllowed
        = [](unsigned char c) { return std::isalnum(c) != 0 || std::string_view("._@-").find(char(c)) != std::string_view::npos; };
    const auto actor = http::headerValue(request.headers, OperatorApi::actorHeader);
    if (actor.empty() || actor.size() > maxActorLength || !std::ranges::all_of(actor, isAllowed))
        return makeUnexpected(ApiError { 400, "actor_missing", "the header X-Kingcuploom-Actor is missing or malformed",
            "name who makes the change: 1 to 64 characters of [A-Za-z0-9._@-]" });
    return actor;
}

} // namespace kingcuploom
