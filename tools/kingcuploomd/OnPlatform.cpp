#include "Options.h"
#include "Signals.h"
#include "base/Log.h"
#include "platform/PlatformDaemon.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace kingcuploom {

namespace {

    ExitCode runDaemon(const platform::NodeFile& file)
    {
        const auto signals = blockShutdownSignals();
        configureBoundedLogging(LogLevel::Info, file.node);
        platform::PlatformDaemon daemon(file);
        if (!daemon.start())
            return StartFailed;
        waitForShutdownSignal(signals);
        daemon.shutDown();
        return Success;
    }

    std::string getNodeFilePath(const Options& options)
    {
        const auto* variable = std::getenv("KINGCUPLOOM_NODE_FILE");
        return options.nodeFile.empty() && variable ? std::string(variable) : options.nodeFile;
    }

} // namespace

ExitCode runOnPlatform(const Options& options)
{
    const auto path = getNodeFilePath(options);
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << "kingcuploomd: cannot read node file '" << path << "'\n";
        return InvalidSettings;
    }
    std::stringstream text;
    text << stream.rdbuf();
    const auto file = platform::parseNodeFile(text.str());
    if (!file) {
        std::ranges::for_each(file.error(), [](const auto& error) { std::cerr << "kingcuploomd: " << platform::describe(error) << '\n'; });
        return InvalidSettings;
    }
    if (options.isCheckOnly) {
        std::cout << path << ": valid\n";
        return Success;
    }
    return runDaemon(*file);
}

} // namespace kingcuploom
