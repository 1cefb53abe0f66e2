#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <string>

namespace kingcuploom::ctl {

// Streams like HttpClient::stream(), but ends with Cancelled when nothing arrives for the time: a daemon sends a line at least every few
// seconds, so a longer silence means that it is frozen or that the connection is dead.
Expected<void, http::ClientError> streamWithIdleTimeout(http::HttpClient&, const std::string& server, const http::Request&,
    const std::function<bool(std::string_view)>& onData, Milliseconds idleTimeout);

} // namespace kingcuploom::ctl
