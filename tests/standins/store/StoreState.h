#pragma once

#include "base/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuploom::testing {

struct StoredEntry {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

// Half-open range of keys. An empty end selects only the key "begin"; a single zero byte means no upper bound.
struct KeyRange {
    std::string begin;
    std::string end;

    bool contains(const std::string& key) const;
};

struct StoredEvent {
    bool isDelete = false;
    StoredEntry entry;
};

struct RangeResult {
    std::int64_t revision = 0;
    std::vector<StoredEntry> entries;
    // Whether the limit truncated the result.
    bool hasMore = false;
};

// Writes a key if its revision equals the expected one.
struct Transaction {
    std::string key;
    std::int64_t expected = 0;
    // No value deletes the key.
    std::optional<std::string> value;
    std::int64_t lease = 0;
};

enum class TransactionOutcome {
    Written,
    CompareFailed,
    LeaseNotFound,
};

struct TransactionResult {
    TransactionOutcome outcome = TransactionOutcome::CompareFailed;
    std::int64_t revision = 0;
    std::optional<StoredEntry> current;
};

// Keys, revisions, history and leases of the stand-in store. Thread-safe. Leases expire by the monotonic clock.
class StoreState {
public:
    StoreState();
    ~StoreState();
    StoreState(const StoreState&) = delete;
    StoreState& operator=(const StoreState&) = delete;

    RangeResult range(const KeyRange&, std::int64_t minModRevision = 0, std::int64_t limit = 0) const;
    // Returns what range() returned at an earlier revision, reconstructed from the history.
    RangeResult rangeAt(std::int64_t revision, const KeyRange&, std::int64_t minModRevision = 0, std::int64_t limit = 0) const;
    TransactionResult apply(const Transaction&);

    std::int64_t grantLease(std::chrono::seconds);
    // Renews the lease. Returns its time to live, 0 if it does not exist.
    std::int64_t keepLeaseAlive(std::int64_t lease);
    bool revokeLease(std::int64_t lease);
    // Lease of the key; 0 for none.
    std::int64_t getLease(const std::string& key) const;

    std::int64_t revision() const;
    // First revision that the history still contains.
    std::int64_t firstRetainedRevision() const;

    // Returns the events from the revision on. Blocks until there is one or "isEnded", which notifyWatches() re-evaluates, returns true.
    std::vector<StoredEvent> waitForEvents(const KeyRange&, std::int64_t from, const std::function<bool()>& isEnded);
    void notifyWatches();

private:
    struct Lease {
        std::chrono::seconds timeToLive {};
        MonotonicTime deadline;
        std::set<std::string> keys;
    };

    void record(StoredEvent);
    void put(const Transaction&);
    void remove(const std::string& key, std::int64_t revision);
    bool revokeLocked(std::int64_t lease);
    void expireLeases();
    std::vector<StoredEvent> eventsFrom(const KeyRange&, std::int64_t from) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLeaseId = 1000;
    std::map<std::string, StoredEntry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<StoredEvent> m_history;
    std::int64_t m_firstRetainedRevision = 1;
    std::thread m_expiryThread;
};

} // namespace kingcuploom::testing
