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
    // Revision of the store at which the page was read.
    Revision asOf;
};

// Returns true for a page that names no key to continue after, though more keys follow. It must not be read as the end of the list.
inline bool isCutWithoutItems(const StorePage& page) { return page.hasMore && page.items.empty(); }

struct StoreEvent {
    std::string key;
    // Empty when the key was removed.
    std::optional<std::string> value;
    Revision revision;
};

struct StoreEvents {
    std::vector<StoreEvent> events;
    // Revision up to which all changes are included; the next watch starts after it.
    Revision asOf;
};

enum class StoreError {
    // The call was rejected and will never take effect.
    Refused,
    // No response. The call may have taken effect, or may still take effect if its conditions hold then.
    NoAnswer,
    // A condition of the transaction does not hold.
    Conflict,
    LeaseExpired,
    // The store has compacted the history after the given revision; the keys must be listed again.
    HistoryCompacted,
    Malformed,
};

const char* toString(StoreError);

struct StoreCondition {
    std::string key;
    // Expected revision of the key; 0 if the key must not exist.
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
    // On Conflict: the current items of the keys in the conditions. Keys that do not exist are left out.
    std::vector<StoreItem> current;
};

template <typename T, typename E = StoreError> using StoreCallback = std::function<void(Expected<T, E>)>;

struct Done { };

// Asynchronous interface to the platform's key-value store. Methods must be called on the event loop's thread. Callbacks run on the same
// thread, never before the method has returned.
class AsyncStore {
public:
    // Maximum total number of conditions, writes and removals in one transaction.
    static constexpr std::size_t maxTransactionEntries = 32;

    virtual ~AsyncStore() = default;

    virtual void get(const std::string& key, StoreCallback<std::optional<StoreItem>>) = 0;
    // Lists keys with the prefix that sort after "after", in key order. Successive pages are not a consistent snapshot.
    virtual void list(const std::string& prefix, const std::string& after, StoreCallback<StorePage>) = 0;
    // Long poll: returns the changes after the revision as soon as there are any, or no events after "wait".
    virtual void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreCallback<StoreEvents>) = 0;
    // Commits atomically and returns the revision of the written keys.
    virtual void commit(const Transaction&, StoreCallback<Revision, TransactionFailure>) = 0;
    virtual void grantLease(Milliseconds ttl, StoreCallback<LeaseId>) = 0;
    // Fails with LeaseExpired once the lease has expired.
    virtual void renewLease(LeaseId, StoreCallback<Done>) = 0;
    virtual void revokeLease(LeaseId, StoreCallback<Done>) = 0;
};

} // namespace kingcuploom::node
