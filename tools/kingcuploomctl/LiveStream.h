#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <string>

namespace kingcuploom::ctl {

// Like HttpClient::stream(), but fails with Cancelled if no data arrives within the idle timeout. A daemon sends a line at least every few
// seconds, so a longer gap means that the daemon hangs or that the connection is dead.
Expected<void, http::ClientError> streamWithIdleTimeout(http::HttpClient&, const std::string& server, const http::Request&,
    const std::function<bool(std::string_view)>& onData, Milliseconds idleTimeout);

} // namespace kingcuploom::ctl
