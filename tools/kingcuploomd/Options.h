#pragma once

#include "ExitCode.h"

#include <string>

namespace kingcuploom {

struct Options {
    // Settings file of a standalone daemon.
    std::string settings;
    // Runs on the platform, with the platform's node file.
    bool isPlatform = false;
    // Node file of the platform. If empty, the environment variable KINGCUPLOOM_NODE_FILE names it.
    std::string nodeFile;
    bool isCheckOnly = false;
    bool areTestFaultsAllowed = false;
};

ExitCode runStandalone(const Options&);
ExitCode runOnPlatform(const Options&);

} // namespace kingcuploom
