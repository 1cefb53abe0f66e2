#include "Scenario.h"

#include <cstdio>
#include <cstdlib>
#include <future>
#include <thread>
#include <unistd.h>

using namespace kingcuploom::scenario;

// scenario_runner BINARY_FOLDER SCENARIO.lua [GUARD]
//
// Runs one scenario against real processes. With GUARD, the daemons run with that guard disabled and the scenario must fail, which
// shows that it detects the fault that the guard prevents.
// Exit codes: 0 for the expected result, 1 for an unexpected result or a timeout, 2 for wrong usage.
int main(int argc, char** argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: scenario_runner BINARY_FOLDER SCENARIO.lua [GUARD]\n");
        return 2;
    }
    const std::string disabledGuard = argc > 3 ? argv[3] : "";
    constexpr std::chrono::seconds limit(150);

    const std::filesystem::path file = argv[2];
    const auto folder = std::filesystem::temp_directory_path() / ("kingcuploom-" + std::to_string(getpid()));
    std::string error;
    {
        Scenario scenario(argv[1], folder);
        std::promise<void> ended;
        std::thread watchdog([&] {
            if (ended.get_future().wait_for(limit) == std::future_status::ready)
                return;
            scenario.processes.killAll();
            std::printf("scenario=%s result=timeout logs=%s\n", file.stem().c_str(), folder.c_str());
            std::fflush(stdout);
            _exit(1);
        });
        error = runScenario(scenario, std::filesystem::absolute(file), disabledGuard);
        ended.set_value();
        watchdog.join();
    }
    const bool isExpected = error.empty() == disabledGuard.empty();
    std::printf("scenario=%s guard_off=%s result=%s expected=%s\n", file.stem().c_str(),
        disabledGuard.empty() ? "none" : disabledGuard.c_str(), error.empty() ? "held" : "failed", isExpected ? "yes" : "no");
    if (!error.empty())
        std::printf("%s\n", error.c_str());
    if (isExpected)
        std::filesystem::remove_all(folder);
    else
        std::printf("logs kept in %s\n", folder.c_str());
    return isExpected ? 0 : 1;
}
