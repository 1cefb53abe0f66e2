#include "daemon/SettingsFile.h"

#include <fstream>
#include <sstream>

namespace kingcuploom {

namespace {

    SettingsError errorOf(SettingsErrorCode code, const std::string& file, const std::string& message)
    {
        return { code, file, message, {} };
    }

    std::vector<schema::SettingsProblem> problemsOf(const schema::SettingsT& settings)
    {
        auto problems = schema::checkSettings(settings);
        if (!parseLogLevel(settings.log_level))
            problems.push_back({ "log_level", settings.log_level, "debug, info, warning or error" });
        return problems;
    }

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info" || text.empty())
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return std::nullopt;
}

Expected<schema::SettingsT, SettingsError> loadSettings(const std::string& file, TestFaults testFaults)
{
    const std::ifstream input(file);
    if (!input)
        return makeUnexpected(errorOf(SettingsErrorCode::CannotRead, file, "the file cannot be read"));
    std::ostringstream text;
    text << input.rdbuf();
    auto settings = schema::parseSettings(text.str(), file);
    if (!settings)
        return makeUnexpected(errorOf(SettingsErrorCode::Malformed, file, settings.error().message));
    if (auto problems = problemsOf(*settings); !problems.empty())
        return makeUnexpected(SettingsError { SettingsErrorCode::Invalid, file, "settings out of range", std::move(problems) });
    if (!settings->test_faults.empty() && testFaults == TestFaults::Refused)
        return makeUnexpected(errorOf(SettingsErrorCode::FaultsNotAllowed, file, "test_faults needs --allow-faults"));
    return std::move(*settings);
}

std::vector<std::string> describe(const SettingsError& error)
{
    if (error.problems.empty())
        return { error.file + ": " + error.message };
    std::vector<std::string> lines;
    for (const auto& problem : error.problems) {
        const auto value = problem.value.empty() ? "(empty)" : problem.value;
        lines.push_back(error.file + ": field " + problem.field + ": " + value + "; allowed: " + problem.allowed);
    }
    return lines;
}

} // namespace kingcuploom
