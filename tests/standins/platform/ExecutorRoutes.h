#pragma once

#include "ExecutorModel.h"
#include "http/HttpServer.h"

namespace kingcuploom::testing {

// Adds the HTTP routes of a platform executor. Calls must expect the instance "id"; "startTimeMs" is its start in milliseconds since 1970.
void addExecutorRoutes(http::HttpServer&, ExecutorModel&, const std::string& id, std::int64_t startTimeMs);

} // namespace kingcuploom::testing
