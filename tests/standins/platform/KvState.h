#pragma once

#include "base/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcuploom::testing {

struct KvItem {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    // 0 without a lease.
    std::int64_t lease = 0;
};

struct KvChange {
    // Item as written; empty for a removed key.
    std::optional<KvItem> item;
    std::string key;
    std::int64_t revision = 0;
};

struct KvCondition {
    std::string key;
    std::int64_t revision = 0;
};

struct KvTransaction {
    std::vector<KvCondition> conditions;
    std::vector<KvItem> writes;
    std::vector<std::string> removals;
};

enum class KvOutcome {
    Done,
    Conflict,
    NoSuchLease,
    TooLarge,
    HistoryCompacted,
};

struct KvTransactionResult {
    KvOutcome outcome = KvOutcome::Done;
    std::int64_t revision = 0;
    // With Conflict: current items of the keys in the conditions that exist.
    std::vector<KvItem> current;
};

struct KvPage {
    std::vector<KvItem> items;
    bool hasMore = false;
    std::int64_t asOf = 0;
};

struct KvChanges {
    KvOutcome outcome = KvOutcome::Done;
    std::vector<KvChange> changes;
    std::int64_t asOf = 0;
};

// In-memory model of the platform's store: keys with revisions, leases, and a change history for watches. Thread-safe.
class KvState {
public:
    static constexpr std::size_t maxTransactionEntries = 32;

    std::optional<KvItem> get(const std::string& key, std::int64_t& asOf);
    KvPage list(const std::string& prefix, const std::string& after, std::size_t limit);
    // Waits for a change after the revision, at most for the given time.
    KvChanges watch(const std::string& prefix, std::int64_t after, Milliseconds wait);
    KvTransactionResult transact(const KvTransaction&);

    std::int64_t grantLease(Milliseconds ttl);
    bool renewLease(std::int64_t lease);
    bool revokeLease(std::int64_t lease);

    // Unconditional writes of the platform itself.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Drops the change history: watches from any revision so far fail with HistoryCompacted.
    void dropHistory();
    // Makes waiting watches return.
    void stop();

private:
    struct Lease {
        Milliseconds ttl;
        MonotonicTime end;
    };

    static constexpr std::size_t maxHistory = 20'000;

    void expireLeases();
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void erase(const std::string& key);
    void removeKeysOfLease(std::int64_t lease);
    void record(KvChange);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, KvItem> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<KvChange> m_history;
    std::int64_t m_revision = 100;
    std::int64_t m_historyBegin = 100;
    std::int64_t m_lastLease = 0;
    bool m_isStopped = false;
};

} // namespace kingcuploom::testing
