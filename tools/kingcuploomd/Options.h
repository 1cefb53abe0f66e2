#pragma once

#include "ExitCode.h"

#include <string>

namespace kingcuploom {

struct Options {
    // Settings file of a daemon that is run by itself.
    std::string settings;
    // Run on the platform, with its settings file.
    bool isPlatform = false;
    std::string nodeFile;
    bool isCheckOnly = false;
    bool areTestFaultsAllowed = false;
};

ExitCode runStandalone(const Options&);
ExitCode runOnPlatform(const Options&);

} // namespace kingcuploom
