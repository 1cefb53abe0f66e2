#include "Options.h"
#include "Signals.h"
#include "base/Log.h"
#include "daemon/Daemon.h"
#include "daemon/SettingsFile.h"

#include <algorithm>
#include <iostream>

namespace kingcuploom {

namespace {

    ExitCode runDaemon(const schema::SettingsT& settings)
    {
        const auto signals = blockShutdownSignals();
        configureLogging(parseLogLevel(settings.log_level).value_or(LogLevel::Info), settings.daemon_id);
        Daemon daemon(settings);
        if (const auto started = daemon.start(); !started) {
            logEvent(LogLevel::Error, "start_failed", { { "reason", toString(started.error()) } });
            return StartFailed;
        }
        waitForShutdownSignal(signals);
        daemon.shutDown();
        logEvent(LogLevel::Info, "ended");
        return Success;
    }

} // namespace

ExitCode runStandalone(const Options& options)
{
    const auto testFaults = options.areTestFaultsAllowed ? TestFaults::Allowed : TestFaults::Refused;
    const auto settings = loadSettings(options.settings, testFaults);
    if (!settings) {
        std::ranges::for_each(describe(settings.error()), [](const auto& line) { std::cerr << "kingcuploomd: " << line << '\n'; });
        return InvalidSettings;
    }
    if (options.isCheckOnly) {
        std::cout << options.settings << ": valid\n";
        return Success;
    }
    return runDaemon(*settings);
}

} // namespace kingcuploom
