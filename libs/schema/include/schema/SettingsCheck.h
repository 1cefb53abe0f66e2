#pragma once

#include "schema/JsonCodec.h"

#include <vector>

namespace kingcuploom::schema {

// One field that is missing, out of range or contradicts another.
struct SettingsProblem {
    std::string field;
    std::string value;
    std::string allowed;
};

// All problems at once, empty when the settings can be used.
std::vector<SettingsProblem> checkSettings(const SettingsT&);

} // namespace kingcuploom::schema
