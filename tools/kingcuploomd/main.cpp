#include "Options.h"
#include "Signals.h"

#include "base/Expected.h"

#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace kingcuploom;

constexpr char usage[] = R"(kingcuploomd - scheduler daemon of an entry VM

Usage:
  kingcuploomd --settings FILE [--check] [--allow-faults]
  kingcuploomd platform [--node-file FILE] [--check]
  kingcuploomd --help
  kingcuploomd --version

Options:
  --settings FILE  Settings file, JSON with comments.
  --node-file FILE  The platform's settings file of this process; default: the environment variable
                   KINGCUPLOOM_NODE_FILE.
  --check          Check the settings file and exit.
  --allow-faults   Accept test_faults in the settings; for tests only.
  --help           Show this text.
  --version        Show the version.

Signals:
  SIGTERM, SIGINT  Graceful shutdown: hand over the shards, finish the requests in progress, exit.
  SIGHUP           Ignored: settings are read only at startup.

Exit codes:
  0  Shut down on request, or the settings are valid (--check).
  1  The daemon could not start, for example because its port is taken.
  2  Wrong usage.
  3  The settings file cannot be read, is malformed or has fields out of range.
)";

constexpr char version[] = "kingcuploomd 0.1.0";

// Returns the options, or the exit code if the process must exit now.
Expected<Options, ExitCode> parseOptions(const std::vector<std::string>& arguments)
{
    try {
        const auto values = docopt::docopt_parse(usage, arguments, true, true);
        const auto text = [&](const char* name) { return values.at(name).isString() ? values.at(name).asString() : std::string(); };
        Options options;
        options.settings = text("--settings");
        options.nodeFile = text("--node-file");
        options.isPlatform = values.at("platform").asBool();
        options.isCheckOnly = values.at("--check").asBool();
        options.areTestFaultsAllowed = values.at("--allow-faults").asBool();
        return options;
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return makeUnexpected(Success);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << version << '\n';
        return makeUnexpected(Success);
    } catch (const std::exception& error) {
        std::cerr << "kingcuploomd: " << error.what() << "\n\n" << usage;
        return makeUnexpected(InvalidUsage);
    }
}

ExitCode run(const Options& options)
{
    if (options.isPlatform)
        return runOnPlatform(options);
#ifdef KC_PLATFORM_ONLY
    std::cerr << "kingcuploomd: this build runs on the platform only\n";
    return InvalidUsage;
#else
    return runStandalone(options);
#endif
}

} // namespace

int main(int argc, char** argv)
{
    // Must come first: a SIGHUP received during startup, sent because the settings have changed, would terminate the process.
    ignoreHangup();
    const auto options = parseOptions({ argv + 1, argv + argc });
    return options ? run(*options) : options.error();
}
