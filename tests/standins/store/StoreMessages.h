#pragma once

#include "StoreState.h"
#include "http/Json.h"

#include <optional>

namespace kingcuploom::testing {

KeyRange parseRange(const json_t*);

// Returns no value unless the transaction consists of one revision compare and one put or delete.
std::optional<Transaction> parseTransaction(const json_t*);

http::Json rangeResponse(const RangeResult&);
http::Json transactionResponse(const TransactionResult&);
http::Json leaseNotFoundResponse();
http::Json unavailableResponse();

// Each returns one line of a watch stream.
std::string watchCreatedLine(std::int64_t revision);
std::string watchCancelledLine(std::int64_t compactRevision);
std::string watchEventsLine(const std::vector<StoredEvent>&);

} // namespace kingcuploom::testing
