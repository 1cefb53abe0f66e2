#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/Ids.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuploom::store {

struct KeyValue {
    std::string key;
    std::string value;
    // Store revision of the last change of this key.
    Revision modRevision;
};

struct Listing {
    std::vector<KeyValue> entries;
    // Revision of the whole store at the time of the read.
    Revision storeRevision;
};

enum class StoreErrorCode {
    // Nothing reached the store.
    Unavailable,
    // The call may have taken effect.
    OutcomeUnknown,
    // The key has another revision than expected.
    Conflict,
    LeaseNotFound,
    ValueTooLarge,
    // The answer does not follow the protocol.
    Protocol,
};

struct StoreError {
    StoreErrorCode code;
    std::string detail;
    // With Conflict: the key as it is, nothing when it does not exist.
    std::optional<KeyValue> current;
};

const char* toString(StoreErrorCode);

// One change seen by a watch; no value means that the key was removed or its lease lapsed.
struct WatchEvent {
    std::string key;
    std::optional<std::string> value;
    Revision revision;
};

// Ends the watch when destroyed and waits for a running callback.
class Watch {
public:
    virtual ~Watch() = default;
};

// Values larger than this are refused before a call (the platform's limit is 1 MB).
inline constexpr std::size_t maxValueBytes = 1000 * 1000;

// The platform's key-value service. Thread-safe; calls block for at most the store timeout of the settings.
class Store {
public:
    virtual ~Store() = default;

    virtual Expected<std::optional<KeyValue>, StoreError> get(const std::string& key) = 0;

    // Linearizable read of all keys with the prefix that changed after "newerThan".
    virtual Expected<Listing, StoreError> list(const std::string& prefix, Revision newerThan = Revision()) = 0;

    // Writes when the key still has the expected revision (0: does not exist). Returns the new revision.
    virtual Expected<Revision, StoreError> compareAndSwap(
        const std::string& key, Revision expected, const std::string& value, LeaseId lease = LeaseId())
        = 0;
    virtual Expected<void, StoreError> compareAndDelete(const std::string& key, Revision expected) = 0;

    virtual Expected<LeaseId, StoreError> grantLease(Milliseconds timeToLive) = 0;
    virtual Expected<void, StoreError> keepAlive(LeaseId) = 0;
    virtual Expected<void, StoreError> revokeLease(LeaseId) = 0;

    // Calls "onEvents" from a thread of the store for each change from the revision on, and "onLost" once when the watch breaks
    // (the watcher then lists and watches anew).
    virtual std::unique_ptr<Watch> watch(const std::string& prefix, Revision from,
        std::function<void(const std::vector<WatchEvent>&)> onEvents, std::function<void()> onLost)
        = 0;
};

} // namespace kingcuploom::store
