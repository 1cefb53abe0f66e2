#pragma once

#include "base/Expected.h"
#include "base/Log.h"
#include "schema/SettingsCheck.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuploom {

enum class SettingsErrorCode {
    CannotRead,
    // Not JSON, an unknown field, or a number that does not fit its type.
    Malformed,
    // "problems" lists every field.
    Invalid,
    // "test_faults" without --allow-faults.
    FaultsNotAllowed,
};

struct SettingsError {
    SettingsErrorCode code = SettingsErrorCode::CannotRead;
    std::string file;
    std::string message;
    std::vector<schema::SettingsProblem> problems;
};

enum class TestFaults {
    Refused,
    Allowed,
};

// Reads and checks a settings file.
Expected<schema::SettingsT, SettingsError> loadSettings(const std::string& file, TestFaults);

// One line for each problem: file, field, value and what is allowed. Keys are never part of it.
std::vector<std::string> describe(const SettingsError&);

// "debug", "info", "warning" or "error"; the level of an empty text is Info.
std::optional<LogLevel> parseLogLevel(std::string_view);

} // namespace kingcuploom
