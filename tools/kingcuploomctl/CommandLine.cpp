#include "CommandLine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>

namespace kingcuploom::ctl {

namespace {

    constexpr char usage[] = R"(kingcuploomctl - command-line tool for operators of kingcuploom

Usage:
  kingcuploomctl apply (-f FILE)... [--revision N] [--dry-run] [options]
  kingcuploomctl get [KIND] [NAME] [options]
  kingcuploomctl watch [KIND] [--revision N] [options]
  kingcuploomctl delete KIND NAME [--revision N] [--dry-run] [options]
  kingcuploomctl drain DOMAIN --reason TEXT [--dry-run] [options]
  kingcuploomctl restore DOMAIN [--dry-run] [options]
  kingcuploomctl submit (-f FILE)... [--dry-run] [options]
  kingcuploomctl cancel JOB [options]
  kingcuploomctl jobs [JOB] [options]
  kingcuploomctl status [JOB] [options]
  kingcuploomctl explain (task | request-class | worker) NAME [options]
  kingcuploomctl audit [OBJECT] [--since SECONDS] [--limit N] [options]
  kingcuploomctl sizes LOG...
  kingcuploomctl --help
  kingcuploomctl --version

Arguments:
  KIND    service, failure_domain, team or policy.
  NAME    Name of a resource; for explain: JOB/INDEX of a task, SERVICE or SERVICE/TEAM of a request class, VM of a worker.
  LOG     Log file of one or more nodes.
  OBJECT  Object of audit events, for example failure_domain/north; with '/' at the end, all objects with that prefix.

Commands:
  apply    Declare resources. Without --revision, the current state is read, shown and replaced; a concurrent change by another
           operator is a conflict. With --revision, only that revision is replaced (0: create).
  watch    Show changes as they happen, from a revision on.
  status   Show the state of a daemon, or of a job.
  drain    Take a failure domain out of service; restore returns it to service.
  sizes    Show from log files how the jobs of each queue and size have fared, and what those that were not on time waited for.

Options:
  -f FILE          File with one resource or job, as JSON with comments; may be repeated.
  --revision N     Revision that the change replaces, or that the watch continues after.
  --dry-run        Run all checks without storing a change.
  --reason TEXT    Why the failure domain is taken out of service.
  --since SECONDS  Only show events of the last SECONDS seconds.
  --limit N        Maximum number of events [default: 200].
  --server URL     URL of a daemon; default KINGCUPLOOM_SERVER, then http://127.0.0.1:8080.
  --key-file FILE  File with the operator key; default KINGCUPLOOM_KEY.
  --actor NAME     Name to record as author of the change; default KINGCUPLOOM_ACTOR, then USER.
  -o FORMAT        table or json [default: table].
  --help           Show this text.
  --version        Show the version.

Exit codes:
  0  Done.
  1  Unexpected response.
  2  Command-line usage error, or a file cannot be read.
  3  Refused by validation; nothing was stored.
  4  Conflict with another change; nothing was stored.
  5  Not found.
  6  Daemon or store unreachable; nothing was stored.
  7  Not known whether the change was stored; read the object before repeating it.
  8  Operator key or actor refused.
  9  The watch cannot continue from its revision; list again.
)";

    constexpr char version[] = "kingcuploomctl 0.1.0";

    using Values = std::map<std::string, docopt::value>;

    struct CommandName {
        const char* name;
        Command command;
    };

    constexpr std::array commandNames {
        CommandName { "apply", Command::Apply },
        CommandName { "get", Command::Get },
        CommandName { "watch", Command::Watch },
        CommandName { "delete", Command::Delete },
        CommandName { "drain", Command::Drain },
        CommandName { "restore", Command::Restore },
        CommandName { "submit", Command::Submit },
        CommandName { "cancel", Command::Cancel },
        CommandName { "jobs", Command::Jobs },
        CommandName { "status", Command::Status },
        CommandName { "explain", Command::Explain },
        CommandName { "audit", Command::Audit },
        CommandName { "sizes", Command::Sizes },
    };

    std::string getEnvironment(const char* name, const std::string& fallback)
    {
        const char* value = std::getenv(name);
        return value && *value ? value : fallback;
    }

    std::string getText(const Values& values, const std::string& key, const std::string& fallback = "")
    {
        const auto it = values.find(key);
        return it != values.end() && it->second.isString() ? it->second.asString() : fallback;
    }

    bool isSet(const Values& values, const std::string& key)
    {
        const auto it = values.find(key);
        return it != values.end() && it->second.isBool() && it->second.asBool();
    }

    std::optional<std::int64_t> getNumber(const Values& values, const std::string& key)
    {
        const auto text = getText(values, key);
        if (text.empty())
            return std::nullopt;
        std::int64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc() || end != text.data() + text.size() || number < 0)
            throw docopt::DocoptArgumentError(key + " must be a non-negative integer, not " + text);
        return number;
    }

    OutputFormat getOutputFormat(const Values& values)
    {
        const auto text = getText(values, "-o", "table");
        if (text != "table" && text != "json")
            throw docopt::DocoptArgumentError("-o must be table or json, not " + text);
        return text == "json" ? OutputFormat::Json : OutputFormat::Table;
    }

    std::string getKind(const Values& values)
    {
        for (const auto* kind : { "task", "request-class", "worker" }) {
            if (isSet(values, kind))
                return kind;
        }
        const auto kind = getText(values, "KIND");
        return kind == "failure-domain" || kind == "domain" ? "failure_domain" : kind;
    }

    std::string getName(const Values& values)
    {
        for (const auto* key : { "NAME", "DOMAIN", "JOB", "OBJECT" }) {
            if (auto name = getText(values, key); !name.empty())
                return name;
        }
        return {};
    }

    CommandLine toCommandLine(const Values& values)
    {
        CommandLine line;
        const auto it = std::ranges::find_if(commandNames, [&](const auto& entry) { return isSet(values, entry.name); });
        line.command = it->command;
        if (const auto files = values.find("-f"); files != values.end() && files->second.isStringList())
            line.files = files->second.asStringList();
        if (const auto logs = values.find("LOG"); logs != values.end() && logs->second.isStringList() && line.files.empty())
            line.files = logs->second.asStringList();
        line.kind = getKind(values);
        line.name = getName(values);
        line.reason = getText(values, "--reason");
        line.revision = getNumber(values, "--revision");
        line.sinceSeconds = getNumber(values, "--since");
        line.limit = getNumber(values, "--limit").value_or(line.limit);
        line.isDryRun = isSet(values, "--dry-run");
        line.output = getOutputFormat(values);
        line.server = getText(values, "--server", getEnvironment("KINGCUPLOOM_SERVER", "http://127.0.0.1:8080"));
        line.keyFile = getText(values, "--key-file");
        line.actor = getText(values, "--actor", getEnvironment("KINGCUPLOOM_ACTOR", getEnvironment("USER", "")));
        return line;
    }

} // namespace

Expected<CommandLine, EarlyExit> parseCommandLine(const std::vector<std::string>& arguments)
{
    try {
        return toCommandLine(docopt::docopt_parse(usage, arguments, true, true));
    } catch (const docopt::DocoptExitHelp&) {
        return makeUnexpected(EarlyExit { ExitCode::Done, usage });
    } catch (const docopt::DocoptExitVersion&) {
        return makeUnexpected(EarlyExit { ExitCode::Done, version });
    } catch (const std::exception& error) {
        return makeUnexpected(EarlyExit { ExitCode::UsageError, std::string(error.what()) + "; see kingcuploomctl --help" });
    }
}

Expected<std::string, EarlyExit> readOperatorKey(const CommandLine& line)
{
    if (line.keyFile.empty())
        return getEnvironment("KINGCUPLOOM_KEY", "");
    std::ifstream input(line.keyFile);
    std::string key;
    if (!std::getline(input, key))
        return makeUnexpected(EarlyExit { ExitCode::UsageError, "key file " + line.keyFile + " cannot be read" });
    if (key.ends_with('\r'))
        key.pop_back();
    return key;
}

} // namespace kingcuploom::ctl
