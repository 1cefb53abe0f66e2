#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuploom::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
    std::string method;
    // Path with query, starting with '/'.
    std::string path;
    Headers headers;
    std::string body;
    // Set by HttpServer and valid while the handler runs: true once the caller has closed its connection or the sending side of it.
    std::function<bool()> isCallerGone = nullptr;
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
};

// Value of the first header with this name, ignoring case; empty when absent.
std::string headerValue(const Headers&, const std::string& name);

// Value of a query parameter of the path, percent-decoded; empty when absent.
std::string queryValue(const std::string& path, const std::string& name);

// The headers without those that concern one connection only (RFC 9110, section 7.6.1), including the ones that "Connection" names.
Headers withoutHopByHop(const Headers&);

} // namespace kingcuploom::http
