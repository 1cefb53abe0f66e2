#include "Commands.h"

#include "Output.h"
#include "SizeTable.h"
#include "Table.h"
#include "resources/ResourceKey.h"
#include "schema/JsonCodec.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace kingcuploom::ctl {

namespace {

    constexpr int maxDrainAttempts = 5;
    constexpr int maxWatchReconnects = 10;
    constexpr auto reconnectDelay = std::chrono::seconds(1);

    std::string resourcePath(const std::string& kind, const std::string& name) { return "/v1/resources/" + encodePath(kind + "/" + name); }

    std::string queryString(const Session& session, std::optional<std::int64_t> revision)
    {
        std::string text = session.line.isDryRun ? "?dry_run=true" : "?dry_run=false";
        if (revision)
            text += "&revision=" + std::to_string(*revision);
        return text;
    }

    Expected<std::string, ExitCode> readFile(const Session& session, const std::string& file)
    {
        const std::ifstream input(file);
        if (!input) {
            session.err << "error: file " << file << " cannot be read\n";
            return makeUnexpected(ExitCode::UsageError);
        }
        std::ostringstream text;
        text << input.rdbuf();
        return text.str();
    }

    ExitCode reportParseError(const Session& session, const schema::ParseError& error)
    {
        session.err << "error: malformed: " << error.message << "\nnext: correct the file and run the command again; nothing was stored\n";
        return ExitCode::Invalid;
    }

    ExitCode printAnswer(const Session& session, const Expected<Json, ExitCode>& answer, void (*print)(const Session&, const json_t*))
    {
        if (!answer)
            return answer.error();
        if (session.line.output == OutputFormat::Json)
            session.out << toCompactJson(answer->get()) << '\n';
        else
            print(session, answer->get());
        return ExitCode::Done;
    }

    // Returns an empty object if the resource does not exist.
    Expected<Json, ExitCode> fetchCurrent(const Session& session, const std::string& path)
    {
        auto current = trySend(session, "GET", path);
        if (current)
            return std::move(*current);
        if (current.error().code == ExitCode::NotFound)
            return Json(json_object());
        return makeUnexpected(reportFailure(session, current.error()));
    }

    ExitCode applyFile(const Session& session, const std::string& file)
    {
        const auto text = readFile(session, file);
        if (!text)
            return text.error();
        const auto resource = schema::parseResource(*text, file);
        if (!resource)
            return reportParseError(session, resource.error());
        const auto path = resourcePath(resources::toString(resource->kind), resource->name);
        if (session.line.revision)
            return printAnswer(session, send(session, "PUT", path + queryString(session, session.line.revision), *text), printChangeResult);
        const auto current = fetchCurrent(session, path);
        if (!current)
            return current.error();
        const auto revision = json_integer_value(json_object_get(current->get(), "revision"));
        const auto answer = send(session, "PUT", path + queryString(session, revision), *text);
        if (answer && session.line.output == OutputFormat::Table)
            printReplacedFields(session, current->get(), answer->get());
        return printAnswer(session, answer, printChangeResult);
    }

    ExitCode submitFile(const Session& session, const std::string& file)
    {
        const auto text = readFile(session, file);
        if (!text)
            return text.error();
        if (const auto spec = schema::parseJobSpec(*text, file); !spec)
            return reportParseError(session, spec.error());
        return printAnswer(session, send(session, "POST", "/v1/jobs" + queryString(session, std::nullopt), *text), printSubmission);
    }

    // Stops at the first failure, so that a file is never applied without the files before it.
    ExitCode forEachFile(const Session& session, ExitCode (*run)(const Session&, const std::string&))
    {
        for (const auto& file : session.line.files) {
            const auto code = run(session, file);
            if (code == ExitCode::Done)
                continue;
            if (session.line.files.size() > 1)
                session.err << "stopped at " << file << "; later files were not processed\n";
            return code;
        }
        return ExitCode::Done;
    }

    ExitCode get(const Session& session)
    {
        const auto& line = session.line;
        if (!line.name.empty())
            return printAnswer(session, send(session, "GET", resourcePath(line.kind, line.name)), printResource);
        const auto path = line.kind.empty() ? std::string("/v1/resources") : "/v1/resources/" + encodePath(line.kind);
        return printAnswer(session, send(session, "GET", path), printResources);
    }

    ExitCode remove(const Session& session)
    {
        const auto& line = session.line;
        const auto path = resourcePath(line.kind, line.name);
        auto revision = line.revision;
        if (!revision) {
            const auto current = send(session, "GET", path);
            if (!current)
                return current.error();
            revision = json_integer_value(json_object_get(current->get(), "revision"));
        }
        return printAnswer(session, send(session, "DELETE", path + queryString(session, revision)), printChangeResult);
    }

    struct DomainState {
        std::int64_t revision = 0;
        std::string state = "InService";
    };

    Expected<DomainState, ExitCode> fetchDomain(const Session& session)
    {
        const auto current = fetchCurrent(session, resourcePath("failure_domain", session.line.name));
        if (!current)
            return makeUnexpected(current.error());
        // A failure domain without a stored resource is in service.
        if (!json_object_get(current->get(), "resource"))
            return DomainState {};
        const auto* resource = json_object_get(current->get(), "resource");
        const auto revision = json_integer_value(json_object_get(current->get(), "revision"));
        return DomainState { revision, memberText(json_object_get(resource, "failure_domain"), "state") };
    }

    std::string failureDomainJson(const Session& session, schema::DomainState state)
    {
        schema::ResourceT resource;
        resource.kind = schema::ResourceKind::FailureDomain;
        resource.name = session.line.name;
        resource.failure_domain = std::make_unique<schema::FailureDomainSpecT>();
        resource.failure_domain->state = state;
        resource.failure_domain->reason = session.line.reason;
        return schema::toJson(resource);
    }

    // Retries after a concurrent change that leaves the domain's state as it was. A concurrent change of the state is reported as a
    // conflict, so that the command does not overwrite another operator's decision.
    ExitCode setDomainState(const Session& session, schema::DomainState state)
    {
        auto read = fetchDomain(session);
        if (!read)
            return read.error();
        const auto first = *read;
        const auto text = failureDomainJson(session, state);
        for (int attempt = 1;; ++attempt) {
            const auto path = resourcePath("failure_domain", session.line.name) + queryString(session, read->revision);
            auto answer = trySend(session, "PUT", path, text);
            if (answer)
                return printAnswer(session, std::move(*answer), printChangeResult);
            if (answer.error().code != ExitCode::Conflict || attempt == maxDrainAttempts)
                return reportFailure(session, answer.error());
            read = fetchDomain(session);
            if (!read)
                return read.error();
            if (read->state != first.state)
                return reportFailure(session, answer.error());
        }
    }

    // Splits the stream into lines and tracks the revision from which a new connection continues.
    struct WatchReader {
        const Session& session;
        std::int64_t cursor = 0;
        std::string buffer = {};
        std::optional<ExitCode> result = std::nullopt;

        bool processData(std::string_view data)
        {
            buffer += data;
            for (auto end = buffer.find('\n'); end != std::string::npos && !result; end = buffer.find('\n')) {
                processLine(buffer.substr(0, end));
                buffer.erase(0, end + 1);
            }
            return !result;
        }

        void processLine(const std::string& line)
        {
            const Json value(json_loadb(line.data(), line.size(), 0, nullptr));
            if (json_object_get(value.get(), "error")) {
                result = reportError(session, value.get());
                return;
            }
            const auto* revision = json_object_get(value.get(), "revision");
            if (!revision)
                return;
            cursor = json_integer_value(revision);
            printWatchEvent(session, value.get());
        }
    };

    std::string watchPath(const Session& session, std::int64_t cursor)
    {
        auto path = "/v1/watch?revision=" + std::to_string(cursor);
        if (!session.line.kind.empty())
            path += "&kind=" + encodePath(session.line.kind);
        return path;
    }

    // Defaults to the current revision, so that only later changes are shown.
    Expected<std::int64_t, ExitCode> getStartRevision(const Session& session)
    {
        if (session.line.revision)
            return *session.line.revision;
        const auto list = send(session, "GET", "/v1/resources");
        if (!list)
            return makeUnexpected(list.error());
        return json_integer_value(json_object_get(list->get(), "revision"));
    }

    ExitCode watch(const Session& session)
    {
        const auto first = getStartRevision(session);
        if (!first)
            return first.error();
        WatchReader reader { session, *first };
        for (int attempt = 0; attempt < maxWatchReconnects; ++attempt) {
            const auto before = reader.cursor;
            const auto ended = session.stream(makeRequest(session, "GET", watchPath(session, reader.cursor)),
                [&](std::string_view data) { return reader.processData(data); });
            if (reader.result)
                return *reader.result;
            session.err << "watch interrupted" << (ended ? "" : ": " + ended.error().detail) << "; reconnecting after revision "
                        << reader.cursor << '\n';
            if (reader.cursor != before)
                attempt = 0;
            reader.buffer.clear();
            std::this_thread::sleep_for(reconnectDelay);
        }
        session.err << "error: no response from " << session.line.server << "\nnext: use another daemon with --server\n";
        return ExitCode::Unavailable;
    }

    ExitCode showJob(const Session& session)
    {
        return printAnswer(session, send(session, "GET", "/v1/jobs/" + encodePath(session.line.name)), printJob);
    }

    ExitCode audit(const Session& session)
    {
        auto path = "/v1/audit?limit=" + std::to_string(session.line.limit);
        if (!session.line.name.empty())
            path += "&object=" + encodePath(session.line.name);
        if (session.line.sinceSeconds) {
            const auto since = std::chrono::system_clock::now() - std::chrono::seconds(*session.line.sinceSeconds);
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since.time_since_epoch()).count();
            path += "&since_ms=" + std::to_string(std::max<std::int64_t>(ms, 0));
        }
        return printAnswer(session, send(session, "GET", path), printAuditEvents);
    }

    ExitCode showSizes(const Session& session)
    {
        SizeTable table;
        for (const auto& file : session.line.files) {
            std::ifstream input(file);
            if (!input) {
                session.err << "error: file " << file << " cannot be read\n";
                return ExitCode::UsageError;
            }
            table.read(input);
        }
        printTable(session.out, table.rows());
        return ExitCode::Done;
    }

} // namespace

ExitCode runCommand(const Session& session)
{
    const auto& line = session.line;
    switch (line.command) {
    case Command::Apply:
        return forEachFile(session, applyFile);
    case Command::Get:
        return get(session);
    case Command::Watch:
        return watch(session);
    case Command::Delete:
        return remove(session);
    case Command::Drain:
        return setDomainState(session, schema::DomainState::OutOfService);
    case Command::Restore:
        return setDomainState(session, schema::DomainState::InService);
    case Command::Submit:
        return forEachFile(session, submitFile);
    case Command::Cancel:
        return printAnswer(session, send(session, "DELETE", "/v1/jobs/" + encodePath(line.name)), printJob);
    case Command::Jobs:
        return line.name.empty() ? printAnswer(session, send(session, "GET", "/v1/jobs"), printJobs) : showJob(session);
    case Command::Status:
        return line.name.empty() ? printAnswer(session, send(session, "GET", "/v1/status"), printStatus) : showJob(session);
    case Command::Explain:
        return printAnswer(session, send(session, "GET", "/v1/explain/" + encodePath(line.kind + "/" + line.name)), printExplanation);
    case Command::Audit:
        return audit(session);
    case Command::Sizes:
        break;
    }
    return showSizes(session);
}

} // namespace kingcuploom::ctl
