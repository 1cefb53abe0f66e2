#pragma once

#include "schema/generated/records_generated.h"
#include "store/Store.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kingcuploom {

// Bounded ring of batches of audit events under one prefix of the store. push() and pending() are thread-safe; flush() is for one thread
// at a time.
class AuditRing {
public:
    static constexpr std::size_t slotCount = 64;
    static constexpr std::size_t maxEventsPerBatch = 512;
    static constexpr std::size_t maxPendingEvents = 4096;

    enum class FlushResult {
        NothingPending,
        Stored,
        // Not stored, or not known to be.
        Failed,
    };

    // The prefix ends in '/'.
    AuditRing(std::string prefix, store::Store&);

    // False when too many events are pending; the event is then dropped.
    bool push(const schema::AuditEventT&);

    // Events that are not stored yet, oldest first.
    std::vector<schema::AuditEventT> pending() const;

    // Writes at most one batch.
    FlushResult flush();

private:
    // A write that is under way; kept unchanged until the store has it or another writer has used its slot.
    struct Write {
        std::size_t slot = 0;
        std::size_t newEvents = 0;
        schema::AuditBatchT batch;
        std::string value;
    };

    bool load();
    void adopt(const store::Listing&);
    void adoptNewest(std::size_t slot, schema::AuditBatchT);
    std::optional<Write> nextWrite() const;
    FlushResult write();
    void complete(Revision);
    std::string keyOf(std::size_t slot) const;
    std::optional<std::size_t> slotOf(const std::string& key) const;

    const std::string m_prefix;
    store::Store& m_store;

    mutable std::mutex m_mutex;
    std::deque<schema::AuditEventT> m_pending;

    // Used by flush() only.
    bool m_isLoaded = false;
    std::size_t m_slot = 0;
    // Stored content of m_slot, which further events are appended to while there is room.
    schema::AuditBatchT m_newest;
    std::vector<Revision> m_revisions = std::vector<Revision>(slotCount);
    std::optional<Write> m_write;
};

} // namespace kingcuploom
