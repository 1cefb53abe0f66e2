#pragma once

#include "CommandLine.h"
#include "http/HttpClient.h"

#include <functional>
#include <jansson.h>
#include <memory>
#include <ostream>

namespace kingcuploom::ctl {

struct JsonDeleter {
    void operator()(json_t* value) const { json_decref(value); }
};
using Json = std::unique_ptr<json_t, JsonDeleter>;

// One run of the tool: the connection to a daemon and the output streams. The functions stand between the commands and the network,
// so that tests run the commands against an OperatorApi in the same process.
struct Session {
    CommandLine line;
    std::string key;
    std::function<Expected<http::Response, http::ClientError>(const http::Request&)> call;
    std::function<Expected<void, http::ClientError>(const http::Request&, std::function<bool(std::string_view)>)> stream;
    std::ostream& out;
    std::ostream& err;
};

// Percent-encodes all but unreserved characters and '/'.
std::string encodePath(const std::string&);

http::Request makeRequest(const Session&, const std::string& method, const std::string& path, const std::string& body = "");

// A call without a successful answer.
struct Failure {
    ExitCode code = ExitCode::Failed;
    // The JSON error of the daemon, null when there was none.
    Json body;
    // What happened, without a JSON error.
    std::string message;
};

// The JSON body of a successful answer.
Expected<Json, Failure> trySend(const Session&, const std::string& method, const std::string& path, const std::string& body = "");

// Like trySend(), but prints the failure and returns its exit code.
Expected<Json, ExitCode> send(const Session&, const std::string& method, const std::string& path, const std::string& body = "");

// Prints a failure and returns its exit code.
ExitCode reportFailure(const Session&, const Failure&);

// Prints the error of an answer, and with a conflict both sides, and returns its exit code.
ExitCode reportError(const Session&, const json_t* body);

} // namespace kingcuploom::ctl
