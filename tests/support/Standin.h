#pragma once

#include "http/HttpServer.h"
#include "http/Json.h"

#include <functional>
#include <string>

namespace kingcuploom::testing {

// Common command line options of the stand-ins: [--host=ADDRESS] [--port=N].
struct StandinOptions {
    std::string host;
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
};

// Prints an error and exits if the arguments are invalid. Blocks SIGTERM and SIGINT in the calling thread and in all
// threads it starts later, so call it first.
StandinOptions parseStandinOptions(const std::string& program, int argc, char** argv);

// Starts the server, prints "listening port=N" and serves until SIGTERM or SIGINT, then calls "release", which must make blocked
// handlers return, before it stops the server. Returns the exit status.
int serveUntilTerminated(
    http::HttpServer&, const StandinOptions&, const std::function<void()>& release = [] {});

http::Response jsonResponse(int status, const http::Json&);
http::Response emptyResponse(int status);

} // namespace kingcuploom::testing
