#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/Ids.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kingcuploom::node {

struct StoreItem {
    std::string key;
    std::string value;
    Revision revision;
};

struct StorePage {
    std::vector<StoreItem> items;
    bool hasMore = false;
    // Revision of the store when it answered.
    Revision asOf;
};

struct StoreEvent {
    std::string key;
    // Empty for a removed key.
    std::optional<std::string> value;
    Revision revision;
};

struct StoreEvents {
    std::vector<StoreEvent> events;
    // Watching goes on from here.
    Revision asOf;
};

enum class StoreError {
    // Nothing was done, now or later.
    Refused,
    // The call may have been executed, or may be executed later if its conditions still hold.
    NoAnswer,
    // A condition does not hold.
    Conflict,
    LeaseExpired,
    // The changes since the given revision are no longer known.
    HistoryCompacted,
    Malformed,
};

const char* toString(StoreError);

struct StoreCondition {
    std::string key;
    // 0: the key does not exist.
    Revision revision;
};

struct StoreWrite {
    std::string key;
    std::string value;
    LeaseId lease;
};

struct Transaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
};

struct TransactionFailure {
    StoreError error = StoreError::NoAnswer;
    // With Conflict: the keys of the conditions as they are now, without those that do not exist.
    std::vector<StoreItem> current;
};

template <typename T, typename E = StoreError> using StoreCallback = std::function<void(Expected<T, E>)>;

struct Done { };

// The platform's store. All methods and callbacks run on the thread of the event loop; no callback is called from within a method.
class AsyncStore {
public:
    // Keys in all parts of one transaction.
    static constexpr std::size_t maxTransactionEntries = 32;

    virtual ~AsyncStore() = default;

    virtual void get(const std::string& key, StoreCallback<std::optional<StoreItem>>) = 0;
    // Keys with the prefix after "after", in order. Pages are not of one moment.
    virtual void list(const std::string& prefix, const std::string& after, StoreCallback<StorePage>) = 0;
    // Answers with the changes after the revision, at the first one or after "wait".
    virtual void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreCallback<StoreEvents>) = 0;
    // All or nothing. Returns the revision of the written keys.
    virtual void commit(const Transaction&, StoreCallback<Revision, TransactionFailure>) = 0;
    virtual void grantLease(Milliseconds ttl, StoreCallback<LeaseId>) = 0;
    virtual void renewLease(LeaseId, StoreCallback<Done>) = 0;
    virtual void revokeLease(LeaseId, StoreCallback<Done>) = 0;
};

} // namespace kingcuploom::node
