#include "Commands.h"
#include "LiveStream.h"

#include <iostream>

namespace {

using namespace kingcuploom;

// Exceeds the time that a daemon with the maximum store timeout spends on all retries of one change.
constexpr auto callTimeout = std::chrono::seconds(60);

// Three times the interval at which a daemon sends a line on a watch.
constexpr auto watchIdleTimeout = std::chrono::seconds(15);

int printEarlyExit(const ctl::EarlyExit& early)
{
    const bool isError = early.code != ctl::ExitCode::Done;
    (isError ? std::cerr : std::cout) << (isError ? "kingcuploomctl: " : "") << early.text << '\n';
    return static_cast<int>(early.code);
}

} // namespace

int main(int argc, char** argv)
{
    const auto line = ctl::parseCommandLine({ argv + 1, argv + argc });
    if (!line)
        return printEarlyExit(line.error());
    const auto key = ctl::readOperatorKey(*line);
    if (!key)
        return printEarlyExit(key.error());
    http::HttpClient client;
    http::CallOptions options;
    options.timeout = callTimeout;
    options.maxResponseBytes = 64 * 1024 * 1024;
    const auto call = [&](const http::Request& request) { return client.call(line->server, request, options); };
    const auto stream = [&](const http::Request& request, const std::function<bool(std::string_view)>& onData) {
        return ctl::streamWithIdleTimeout(client, line->server, request, onData, watchIdleTimeout);
    };
    const ctl::Session session { *line, *key, call, stream, std::cout, std::cerr };
    return static_cast<int>(ctl::runCommand(session));
}
