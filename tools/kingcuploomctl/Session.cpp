#include "Session.h"

#include "Table.h"

#include <algorithm>
#include <array>

namespace kingcuploom::ctl {

namespace {

    struct ErrorCode {
        std::string_view code;
        ExitCode exitCode;
    };

    constexpr std::array errorCodes {
        ErrorCode { "invalid", ExitCode::Invalid },
        ErrorCode { "malformed", ExitCode::Invalid },
        ErrorCode { "conflict", ExitCode::Conflict },
        ErrorCode { "not_found", ExitCode::NotFound },
        ErrorCode { "no_such_route", ExitCode::NotFound },
        ErrorCode { "store_unavailable", ExitCode::Unavailable },
        ErrorCode { "too_many_watches", ExitCode::Unavailable },
        ErrorCode { "not_ready", ExitCode::Unavailable },
        ErrorCode { "outcome_unknown", ExitCode::OutcomeUnknown },
        ErrorCode { "key_refused", ExitCode::KeyRefused },
        ErrorCode { "actor_missing", ExitCode::KeyRefused },
        ErrorCode { "too_old", ExitCode::WatchTooOld },
    };

    ExitCode toExitCode(std::string_view code)
    {
        const auto it = std::ranges::find(errorCodes, code, &ErrorCode::code);
        return it == errorCodes.end() ? ExitCode::Failed : it->exitCode;
    }

    void printProblems(std::ostream& out, const json_t* problems)
    {
        std::size_t i = 0;
        const json_t* problem = nullptr;
        json_array_foreach(problems, i, problem)
        {
            out << "  " << memberText(problem, "field") << ": " << memberText(problem, "code") << ", value '"
                << memberText(problem, "value") << "', allowed: " << memberText(problem, "allowed") << '\n';
        }
    }

    void printConflict(std::ostream& out, const json_t* error)
    {
        const auto* current = json_object_get(error, "current");
        const auto* submitted = json_object_get(error, "submitted");
        const auto revision = memberText(error, "current_revision");
        if (!current) {
            out << "  the object does not exist; omit --revision to create it\n";
            return;
        }
        out << "  current revision " << (revision.empty() ? "unknown" : revision) << ", changed by '" << memberText(current, "updated_by")
            << "'\n";
        if (submitted)
            printDifferences(out, submitted, current, { "SUBMITTED", "CURRENT" });
    }

    Failure makeFailure(const Session& session, const http::ClientError& error, const std::string& method)
    {
        // Reads have no side effects, so only a change that was sent can have an unknown outcome.
        const bool isUnknown = method != "GET" && !http::isNotSent(error.code);
        const auto* next = isUnknown ? "it is not known whether the change was stored; read the object before repeating it"
                                     : "nothing was stored; use another daemon with --server or retry later";
        return { isUnknown ? ExitCode::OutcomeUnknown : ExitCode::Unavailable, nullptr,
            "no response from " + session.line.server + ": " + error.detail + "\nnext: " + next };
    }

} // namespace

std::string encodePath(const std::string& text)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) || std::string_view("-._~/").find(static_cast<char>(c)) != std::string_view::npos) {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += digits[c >> 4];
        encoded += digits[c & 15];
    }
    return encoded;
}

http::Request makeRequest(const Session& session, const std::string& method, const std::string& path, const std::string& body)
{
    http::Request request { method, path, {}, body };
    request.headers.emplace_back("X-Kingcuploom-Key", session.key);
    request.headers.emplace_back("X-Kingcuploom-Actor", session.line.actor);
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    return request;
}

Expected<Json, Failure> trySend(const Session& session, const std::string& method, const std::string& path, const std::string& body)
{
    const auto response = session.call(makeRequest(session, method, path, body));
    if (!response)
        return makeUnexpected(makeFailure(session, response.error(), method));
    Json json(json_loadb(response->body.data(), response->body.size(), 0, nullptr));
    if (response->status == 200 && json)
        return json;
    const auto* error = json_object_get(json.get(), "error");
    if (error)
        return makeUnexpected(Failure { toExitCode(memberText(error, "code")), std::move(json), "" });
    return makeUnexpected(Failure { ExitCode::Failed, nullptr,
        "unexpected response with status " + std::to_string(response->status) + " from " + session.line.server });
}

Expected<Json, ExitCode> send(const Session& session, const std::string& method, const std::string& path, const std::string& body)
{
    auto answer = trySend(session, method, path, body);
    if (!answer)
        return makeUnexpected(reportFailure(session, answer.error()));
    return std::move(*answer);
}

ExitCode reportFailure(const Session& session, const Failure& failure)
{
    if (failure.body)
        return reportError(session, failure.body.get());
    session.err << "error: " << failure.message << '\n';
    return failure.code;
}

ExitCode reportError(const Session& session, const json_t* body)
{
    const auto* error = json_object_get(body, "error");
    const auto code = memberText(error, "code");
    if (session.line.output == OutputFormat::Json) {
        session.out << toCompactJson(body) << '\n';
        return toExitCode(code);
    }
    session.err << "error: " << code << ": " << memberText(error, "message") << '\n';
    printProblems(session.err, json_object_get(error, "problems"));
    if (code == "conflict" || code == "outcome_unknown")
        printConflict(session.err, error);
    session.err << "next: " << memberText(error, "next") << '\n';
    return toExitCode(code);
}

} // namespace kingcuploom::ctl
