#include "requests/CallMessages.h"

#include "schema/Guards.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <string_view>

namespace kingcuploom::requests {

namespace {

    using schema::Outcome;
    using schema::RefusalReason;

    constexpr char deadlineHeader[] = "X-Kingcuploom-Deadline-Ms";
    constexpr char teamHeader[] = "X-Kingcuploom-Team";
    constexpr char idempotentHeader[] = "X-Kingcuploom-Idempotent";
    constexpr std::string_view ownHeaderPrefix = "x-kingcuploom-";
    constexpr std::string_view headerSeparators = ": \r\n";
    constexpr char defaultTeam[] = "default";

    // Headers that belong to one connection (RFC 9110, section 7.6.1), or that the HTTP library sets itself.
    constexpr std::array<std::string_view, 11> connectionHeaders { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect" };
    constexpr std::array<std::string_view, 5> idempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

    std::string lowerCase(std::string_view text)
    {
        std::string result(text);
        std::ranges::transform(result, result.begin(), [](unsigned char c) { return char(std::tolower(c)); });
        return result;
    }

    // True when the Connection header lists the name as one of this connection only.
    bool isListed(const std::string& connectionValue, const std::string& name)
    {
        std::size_t begin = 0;
        while (begin < connectionValue.size()) {
            const auto end = std::min(connectionValue.find(',', begin), connectionValue.size());
            const auto first = connectionValue.find_first_not_of(' ', begin);
            if (first < end && connectionValue.substr(first, connectionValue.find_last_not_of(' ', end - 1) + 1 - first) == name)
                return true;
            begin = end + 1;
        }
        return false;
    }

    http::Headers endToEndHeaders(const http::Headers& headers)
    {
        const auto listed = lowerCase(http::headerValue(headers, "Connection"));
        http::Headers result;
        std::ranges::copy_if(headers, std::back_inserter(result), [&](const auto& header) {
            const auto name = lowerCase(header.first);
            return std::ranges::find(connectionHeaders, name) == connectionHeaders.end() && !name.starts_with(ownHeaderPrefix)
                && !isListed(listed, name);
        });
        return result;
    }

    std::size_t sizeOf(const http::Headers& headers)
    {
        return std::accumulate(headers.begin(), headers.end(), headers.size() * headerSeparators.size(),
            [](auto sum, const auto& header) { return sum + header.first.size() + header.second.size(); });
    }

    std::optional<std::uint32_t> parseNumber(const std::string& text)
    {
        std::uint32_t value = 0;
        const auto* end = text.data() + text.size();
        const auto [next, ec] = std::from_chars(text.data(), end, value);
        if (ec != std::errc() || next != end)
            return std::nullopt;
        return value;
    }

    Expected<Milliseconds, ParseFailure> parseDeadline(const http::Request& request, std::uint32_t defaultMs, std::uint32_t maxMs)
    {
        const auto text = http::headerValue(request.headers, deadlineHeader);
        if (text.empty())
            return Milliseconds(std::min(defaultMs, maxMs));
        const auto value = parseNumber(text);
        if (!value || *value == 0)
            return makeUnexpected(ParseFailure::BadDeadline);
        return Milliseconds(std::min(*value, maxMs));
    }

    Expected<bool, ParseFailure> parseIdempotent(const http::Request& request)
    {
        const auto text = lowerCase(http::headerValue(request.headers, idempotentHeader));
        if (text.empty())
            return std::ranges::find(idempotentMethods, request.method) != idempotentMethods.end();
        if (text != "true" && text != "false")
            return makeUnexpected(ParseFailure::BadIdempotent);
        return text == "true";
    }

    std::string teamOf(const http::Request& request, const schema::ServiceSpecT* spec)
    {
        auto text = http::headerValue(request.headers, teamHeader);
        if (!text.empty())
            return text;
        return spec && !spec->team.empty() ? spec->team : defaultTeam;
    }

    int statusOf(const schema::AnswerT& answer)
    {
        switch (answer.refusal) {
        case RefusalReason::NoSuchService:
            return 404;
        case RefusalReason::TeamOverShare:
            return 429;
        case RefusalReason::BodyTooLarge:
            return 413;
        case RefusalReason::HeadersTooLarge:
            return 431;
        case RefusalReason::TargetTimeout:
            return answer.outcome == Outcome::NotRun ? 503 : 504;
        case RefusalReason::TargetFailed:
        case RefusalReason::LinkLost:
        case RefusalReason::TruncatedAnswer:
            return answer.outcome == Outcome::NotRun ? 503 : 502;
        case RefusalReason::None:
        case RefusalReason::NoCapacity:
        case RefusalReason::QueueFull:
        case RefusalReason::DeadlineTooShort:
        case RefusalReason::Leaving:
        case RefusalReason::NotOwner:
            break;
        }
        return answer.outcome == Outcome::NotRun ? 503 : 502;
    }

    const char* textOf(Outcome outcome)
    {
        switch (outcome) {
        case Outcome::Answered:
            return "answered";
        case Outcome::NotRun:
            return "not-run";
        case Outcome::Unknown:
            break;
        }
        return "unknown";
    }

    http::Response makeError(int status, const char* outcome, const std::string& error)
    {
        return { status, { { "Content-Type", "application/json" }, { "X-Kingcuploom-Outcome", outcome } },
            R"({"error":")" + error + "\"}\n" };
    }

    std::vector<std::unique_ptr<schema::HeaderT>> packHeaders(const http::Headers& headers)
    {
        std::vector<std::unique_ptr<schema::HeaderT>> result;
        for (const auto& [name, value] : headers) {
            auto header = std::make_unique<schema::HeaderT>();
            header->name = name;
            header->value = value;
            result.push_back(std::move(header));
        }
        return result;
    }

    http::Headers unpackHeaders(const std::vector<std::unique_ptr<schema::HeaderT>>& headers)
    {
        http::Headers result;
        for (const auto& header : headers) {
            if (header)
                result.emplace_back(header->name, header->value);
        }
        return result;
    }

} // namespace

Expected<CallPtr, ParseFailure> parseCall(
    const http::Request& request, const schema::SettingsT& settings, const ConfigSnapshot& config, MonotonicTime now)
{
    const std::size_t begin = sizeof(callPrefix) - 1;
    const auto slash = request.path.find_first_of("/?", begin);
    if (!request.path.starts_with(callPrefix) || slash == begin || request.path.size() == begin)
        return makeUnexpected(ParseFailure::BadPath);
    if (request.body.size() > settings.max_body_bytes)
        return makeUnexpected(ParseFailure::BodyTooLarge);
    if (sizeOf(request.headers) > settings.max_header_bytes)
        return makeUnexpected(ParseFailure::HeadersTooLarge);
    auto call = std::make_shared<Call>();
    call->service = ServiceName(request.path.substr(begin, slash - begin));
    const auto spec = config.services.find(call->service);
    const auto* known = spec == config.services.end() ? nullptr : &spec->second;
    const auto deadline
        = parseDeadline(request, known ? known->default_deadline_ms : settings.default_deadline_ms, settings.max_deadline_ms);
    if (!deadline)
        return makeUnexpected(deadline.error());
    const auto idempotent = parseIdempotent(request);
    if (!idempotent)
        return makeUnexpected(idempotent.error());
    auto rest = slash == std::string::npos ? std::string("/") : request.path.substr(slash);
    if (rest.front() == '?')
        rest.insert(rest.begin(), '/');
    call->team = TeamName(teamOf(request, known));
    call->request = { request.method, "/run" + rest, endToEndHeaders(request.headers), request.body };
    call->isIdempotent = *idempotent || !schema::isGuardOn(settings, schema::Guard::AtMostOnce);
    call->arrivedAt = now;
    call->deadline = now + *deadline;
    return call;
}

http::Response toResponse(ParseFailure failure)
{
    switch (failure) {
    case ParseFailure::BadPath:
        return makeError(404, "not-run", "NoSuchService");
    case ParseFailure::BodyTooLarge:
        return makeError(413, "not-run", "BodyTooLarge");
    case ParseFailure::HeadersTooLarge:
        return makeError(431, "not-run", "HeadersTooLarge");
    case ParseFailure::BadDeadline:
        return makeError(400, "not-run", "BadDeadline");
    case ParseFailure::BadIdempotent:
        break;
    }
    return makeError(400, "not-run", "BadIdempotent");
}

schema::AnswerT makeRefusal(RefusalReason reason, Outcome outcome, Milliseconds retryAfter)
{
    schema::AnswerT answer;
    answer.outcome = outcome;
    answer.refusal = reason;
    answer.retry_after_ms = std::uint32_t(retryAfter.count());
    answer.status = std::uint16_t(statusOf(answer));
    return answer;
}

schema::AnswerT makeDeadlinePassed(bool wasRun)
{
    return wasRun ? makeRefusal(schema::RefusalReason::TargetTimeout, schema::Outcome::Unknown)
                  : makeRefusal(schema::RefusalReason::DeadlineTooShort, schema::Outcome::NotRun);
}

schema::AnswerT makeUncertain(const schema::AnswerT& answer) { return makeRefusal(answer.refusal, Outcome::Unknown); }

schema::AnswerT makeAnswer(http::Response&& response)
{
    schema::AnswerT answer;
    answer.outcome = Outcome::Answered;
    answer.refusal = RefusalReason::None;
    answer.status = std::uint16_t(response.status);
    answer.headers = packHeaders(endToEndHeaders(response.headers));
    answer.body.assign(response.body.begin(), response.body.end());
    return answer;
}

schema::AnswerT makeFailure(const http::ClientError& error)
{
    const auto outcome = http::isNotSent(error.code) ? Outcome::NotRun : Outcome::Unknown;
    switch (error.code) {
    case http::ClientErrorCode::Timeout:
    case http::ClientErrorCode::TimeoutBeforeSend:
        return makeRefusal(RefusalReason::TargetTimeout, outcome);
    case http::ClientErrorCode::Truncated:
        return makeRefusal(RefusalReason::TruncatedAnswer, outcome);
    case http::ClientErrorCode::ConnectFailed:
    case http::ClientErrorCode::ConnectionLost:
    case http::ClientErrorCode::ResponseTooLarge:
    case http::ClientErrorCode::Cancelled:
        break;
    }
    return makeRefusal(RefusalReason::TargetFailed, outcome);
}

http::Response toResponse(const schema::AnswerT& answer)
{
    if (answer.outcome == Outcome::Answered) {
        http::Response response { answer.status, unpackHeaders(answer.headers), { answer.body.begin(), answer.body.end() } };
        response.headers.emplace_back("X-Kingcuploom-Outcome", textOf(answer.outcome));
        return response;
    }
    auto response = makeError(answer.status, textOf(answer.outcome), schema::EnumNameRefusalReason(answer.refusal));
    // The header counts whole seconds; the exact figure is in a header of its own.
    constexpr std::uint32_t msPerSecond = 1000;
    constexpr std::uint32_t leastMs = 50;
    const bool isRetryable = answer.status == 429 || answer.status == 503;
    if (isRetryable) {
        const auto ms = std::max(answer.retry_after_ms, leastMs);
        response.headers.emplace_back("Retry-After", std::to_string((ms + msPerSecond - 1) / msPerSecond));
        response.headers.emplace_back("X-Kingcuploom-Retry-After-Ms", std::to_string(ms));
    }
    return response;
}

schema::ForwardT makeForward(const Call& call, const ShardId& shard, MonotonicTime now)
{
    schema::ForwardT forward;
    forward.shard = shard.value();
    forward.service = call.service.value();
    forward.team = call.team.value();
    forward.method = call.request.method;
    forward.path = call.request.path;
    forward.headers = packHeaders(call.request.headers);
    forward.body.assign(call.request.body.begin(), call.request.body.end());
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call.deadline - now).count();
    forward.remaining_ms = std::uint32_t(std::max<std::int64_t>(0, remaining));
    forward.idempotent = call.isIdempotent;
    return forward;
}

CallPtr fromForward(const schema::ForwardT& forward, MonotonicTime now)
{
    auto call = std::make_shared<Call>();
    call->service = ServiceName(forward.service);
    call->team = TeamName(forward.team);
    call->request = { forward.method, forward.path, unpackHeaders(forward.headers), std::string(forward.body.begin(), forward.body.end()) };
    call->isIdempotent = forward.idempotent;
    call->arrivedAt = now;
    call->deadline = now + Milliseconds(forward.remaining_ms);
    call->relays = forward.relays;
    call->origin = { forward.ingress, forward.sequence };
    return call;
}

bool isServerError(int status) { return status >= 500; }

} // namespace kingcuploom::requests
