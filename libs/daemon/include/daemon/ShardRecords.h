#pragma once

#include "base/Random.h"
#include "ledger/ShardLog.h"
#include "store/Store.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace kingcuploom {

enum class UpdateErrorCode {
    // The change declined (returned false), because the record no longer allows it.
    Declined,
    // The record had another revision; the cache now holds the current one. A delayed write of an earlier update may still appear
    // in the store, so the record, not the result, says what is committed.
    Conflict,
    // Nothing was written.
    StoreUnavailable,
    // Not known yet whether it was written; the next update of the shard resolves it first.
    OutcomeUnknown,
    // The change, or the whole record with it, is larger than the store's values may be. Nothing was written.
    ValueTooLarge,
    // A value in the store that the record depends on is malformed. Nothing was written.
    Unreadable,
};

struct UpdateError {
    UpdateErrorCode code;
};

// Shard records and their revisions, stored as a base and a log of changes (docs/design.md, section 4.5). All writes of shard records
// go through here, one at a time per shard, so that ownership changes and ledger commits of one daemon never race. Thread-safe.
class ShardRecords {
public:
    using Record = ledger::ShardRecordPointer;
    using Change = std::function<bool(schema::ShardRecordT&)>;

    ShardRecords(store::Store&, std::uint64_t seed);

    // The cached record, empty when the shard has none.
    Record find(const ShardId&) const;
    std::map<ShardId, Record> all() const;

    // The cached record with the store revision of its last change.
    struct Version {
        Record record;
        Revision revision;
    };
    Version findVersion(const ShardId&) const;

    // Takes a base or a change read or watched from the store; older ones are ignored. Returns the shard that the key belongs to.
    std::optional<ShardId> observe(const store::KeyValue&);

    // Takes a listing of the keys of all shards that changed since the last listing or watched event. Returns the shards in it.
    std::set<ShardId> observeListing(const std::vector<store::KeyValue>&);

    // Shards with a change that was observed before an earlier one; refresh() reads what is missing.
    std::set<ShardId> incomplete() const;

    // Re-reads one record from the store.
    Expected<Record, UpdateError> refresh(const ShardId&);

    // Applies the change to a copy of the cached record and writes the difference with one compare-and-swap, and the base after every
    // 32nd change. Sets the write id. A lost answer is resolved by a re-read that looks for the write id. Returns the record as written.
    Expected<Record, UpdateError> update(const ShardId&, const Change&);

private:
    // Locked in this order, before m_mutex.
    struct Slot {
        // One update at a time; held across its store calls.
        std::mutex commitMutex;
        // Guards the log; held across no call.
        std::mutex logMutex;
        ledger::ShardLog log;
        // Guarded by commitMutex.
        bool hasUnknownOutcome = false;
        // Guarded by m_mutex.
        Version published;
        Revision reportedUnreadable;
    };

    // A change that waits for its compare-and-swap.
    struct Write {
        std::uint64_t number = 0;
        // Revision that the key of the change must have.
        Revision expected;
        Record before;
        std::shared_ptr<schema::ShardRecordT> after;
    };

    struct Decoded;

    Slot& slotOf(const ShardId&);
    void take(const ShardId&, Slot&, std::vector<Decoded>, bool isCompleteRead);
    void publish(const ShardId&, Slot&);
    Expected<void, UpdateError> reload(const ShardId&, Slot&);
    Expected<Write, UpdateError> begin(const ShardId&, Slot&);
    Expected<void, UpdateError> makeRoom(const ShardId&, Slot&);
    Expected<Record, UpdateError> send(const ShardId&, Slot&, const Write&);
    Expected<Record, UpdateError> resolve(const ShardId&, Slot&, const Write&);
    Expected<void, UpdateError> writeBase(const ShardId&, Slot&);
    void writeBaseIfDue(const ShardId&, Slot&);

    store::Store& m_store;
    // Guards what follows, and the published part of the slots.
    mutable std::mutex m_mutex;
    Random m_writeIds;
    std::map<ShardId, std::unique_ptr<Slot>> m_slots;
    std::set<ShardId> m_incomplete;
};

} // namespace kingcuploom
