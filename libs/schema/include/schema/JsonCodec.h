#pragma once

#include "base/Expected.h"
#include "schema/generated/resources_generated.h"
#include "schema/generated/settings_generated.h"

#include <string>

namespace kingcuploom::schema {

// Why a text does not fit its schema. The message names line, column and field.
struct ParseError {
    std::string source;
    std::string message;
};

// Parse JSON (comments allowed) against the schema; unknown fields and numbers out of range are errors.
// "source" names the file or the request in errors. Thread-safe.
Expected<SettingsT, ParseError> parseSettings(const std::string& json, const std::string& source);
Expected<ResourceT, ParseError> parseResource(const std::string& json, const std::string& source);
Expected<JobSpecT, ParseError> parseJobSpec(const std::string& json, const std::string& source);

std::string toJson(const ResourceT&);
std::string toJson(const JobSpecT&);

} // namespace kingcuploom::schema
