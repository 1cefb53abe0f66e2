#pragma once

#include "store/Store.h"

#include <string_view>

// Bodies of the etcd v3 JSON interface (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/): keys and values in base64, 64-bit
// numbers as strings, fields with default values may be absent.
namespace kingcuploom::store {

std::string getRequest(const std::string& key);

// One page of a listing: keys from "begin" on that have the prefix, at most "limit".
std::string listRequest(const std::string& prefix, const std::string& begin, Revision newerThan, std::int64_t limit);
std::string putRequest(const std::string& key, Revision expected, const std::string& value, LeaseId);
std::string deleteRequest(const std::string& key, Revision expected);
std::string grantRequest(std::chrono::seconds timeToLive);
std::string leaseRequest(LeaseId);
std::string watchRequest(const std::string& prefix, Revision from);

Expected<Listing, StoreError> parseListing(std::string_view answer);

// True when the answer of a range ended at its limit.
bool hasMore(std::string_view answer);

// The new revision, or Conflict with the current entry.
Expected<Revision, StoreError> parseCommit(std::string_view answer);
Expected<LeaseId, StoreError> parseGrant(std::string_view answer);
Expected<void, StoreError> parseKeepAlive(std::string_view answer);

// True when an error answer says that the lease does not exist.
bool isLeaseNotFound(std::string_view answer);

struct WatchMessage {
    bool isCancelled = false;
    std::vector<WatchEvent> events;
};
Expected<WatchMessage, StoreError> parseWatchMessage(std::string_view line);

} // namespace kingcuploom::store
