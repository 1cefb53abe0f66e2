#pragma once

#include "Json.h"
#include "daemon/OperatorApi.h"

namespace kingcuploom {

// Body of GET /v1/status: this daemon, its configuration, the members and the shards that it owns.
Json statusReport(const OperatorApi::Parts&);

} // namespace kingcuploom
