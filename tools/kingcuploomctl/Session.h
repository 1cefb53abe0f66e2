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

// State of one invocation: the command line, the connection to a daemon and the output streams. `call` and `stream` abstract the network,
// so that tests can run commands against an OperatorApi in the same process.
struct Session {
    CommandLine line;
    std::string key;
    std::function<Expected<http::Response, http::ClientError>(const http::Request&)> call;
    std::function<Expected<void, http::ClientError>(const http::Request&, std::function<bool(std::string_view)>)> stream;
    std::ostream& out;
    std::ostream& err;
};

// Percent-encodes all characters except unreserved ones and '/'.
std::string encodePath(const std::string&);

http::Request makeRequest(const Session&, const std::string& method, const std::string& path, const std::string& body = "");

// Result of a request that did not succeed.
struct Failure {
    ExitCode code = ExitCode::Failed;
    // JSON error returned by the daemon; null if there is none.
    Json body;
    // Description of the failure when the daemon returned no JSON error.
    std::string message;
};

// Sends a request and returns the JSON body of a successful response.
Expected<Json, Failure> trySend(const Session&, const std::string& method, const std::string& path, const std::string& body = "");

// Like trySend(), but prints the failure and returns its exit code.
Expected<Json, ExitCode> send(const Session&, const std::string& method, const std::string& path, const std::string& body = "");

// Prints a failure and returns its exit code.
ExitCode reportFailure(const Session&, const Failure&);

// Prints the error in a response and returns its exit code. A conflict also shows the submitted and the current version.
ExitCode reportError(const Session&, const json_t* body);

} // namespace kingcuploom::ctl
