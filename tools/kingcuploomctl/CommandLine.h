#pragma once

#include "base/Expected.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuploom::ctl {

// Process exit codes. The numbers are stable because scripts depend on them; the usage text lists them.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    UsageError = 2,
    Invalid = 3,
    Conflict = 4,
    NotFound = 5,
    Unavailable = 6,
    OutcomeUnknown = 7,
    KeyRefused = 8,
    WatchTooOld = 9,
};

enum class Command {
    Apply,
    Get,
    Watch,
    Delete,
    Drain,
    Restore,
    Submit,
    Cancel,
    Jobs,
    Status,
    Explain,
    Audit,
    Sizes,
};

enum class OutputFormat {
    Table,
    Json,
};

struct CommandLine {
    Command command = Command::Status;
    std::vector<std::string> files;
    std::string kind;
    std::string name;
    std::string reason;
    std::optional<std::int64_t> revision;
    std::optional<std::int64_t> sinceSeconds;
    std::int64_t limit = 200;
    bool isDryRun = false;
    OutputFormat output = OutputFormat::Table;
    // Base URL of a daemon.
    std::string server;
    std::string keyFile;
    // Recorded in audit events as the author of a change.
    std::string actor;
};

// Message and exit code of an invocation that runs no command, such as --help or a usage error.
struct EarlyExit {
    ExitCode code = ExitCode::Done;
    std::string text;
};

Expected<CommandLine, EarlyExit> parseCommandLine(const std::vector<std::string>& arguments);

// Reads the operator key from the key file, or from the environment variable KINGCUPLOOM_KEY if no file is given.
Expected<std::string, EarlyExit> readOperatorKey(const CommandLine&);

} // namespace kingcuploom::ctl
