#pragma once

#include "LoadGenerator.h"
#include "ProcessTable.h"
#include "Relay.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>

namespace kingcuploom::scenario {

// State that the Lua functions of one scenario operate on. Its destruction ends all processes, load generators and relays.
struct Scenario {
    Scenario(std::filesystem::path binaryFolder, std::filesystem::path workFolder)
        : binaries(std::move(binaryFolder))
        , processes(std::move(workFolder))
    {
    }

    std::filesystem::path binaries;
    ProcessTable processes;
    http::HttpClient client;
    std::map<std::string, std::unique_ptr<LoadGenerator>> loads;
    std::map<std::string, std::unique_ptr<Relay>> relays;
    std::chrono::steady_clock::time_point startTime = std::chrono::steady_clock::now();
};

// Runs the Lua file. Returns its error message, or an empty string if all expectations are met.
std::string runScenario(Scenario&, const std::filesystem::path& file, const std::string& disabledGuard);

} // namespace kingcuploom::scenario
