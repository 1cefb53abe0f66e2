#pragma once

#include "ExecutorModel.h"
#include "http/HttpServer.h"

namespace kingcuploom::testing {

// The executor's interface of the platform. "id" is the incarnation that calls have to expect; "bornMs" its start since 1970.
void addExecutorRoutes(http::HttpServer&, ExecutorModel&, const std::string& id, std::int64_t startTimeMs);

} // namespace kingcuploom::testing
