#pragma once

#include "base/Random.h"
#include "daemon/ShardRecords.h"
#include "ownership/Events.h"

#include <atomic>
#include <mutex>

namespace kingcuploom {

// Follows members and shard records: lists, watches, and lists again when a watch breaks. poll() is called from one thread; the
// event handler runs on that thread and on those of the store.
class OwnershipWatcher {
public:
    using EventHandler = std::function<void(const ownership::Event&)>;

    OwnershipWatcher(const Clock&, store::Store&, ShardRecords&, std::uint64_t seed, EventHandler);

    // Restores what is broken and due for another attempt. Blocks for store calls.
    void poll();

    // No event is passed on afterwards.
    void stop();

private:
    struct Follow {
        std::unique_ptr<store::Watch> watch;
        std::atomic<bool> isLost = true;
        MonotonicTime nextTryAt {};
        Milliseconds backoff {};
    };

    bool isDue(const Follow&) const;
    void retryLater(Follow&);
    void followMembers();
    void followShards();
    void takeMemberEvents(const std::vector<store::WatchEvent>&);
    Revision shardsRevision();
    void noteShardsRevision(Revision);
    void takeShardEvents(const std::vector<store::WatchEvent>&);
    void closeGaps();
    void report(const ShardId&, std::optional<MonotonicTime> readSentAt);

    const Clock& m_clock;
    store::Store& m_store;
    ShardRecords& m_records;
    Random m_random;
    EventHandler m_handler;
    Follow m_members;
    Follow m_shards;
    // Reads of shards of which a change is missing; has no watch.
    Follow m_gaps;
    // Keys of shards up to this revision were listed or watched. Guarded by m_mutex, because watches deliver events on threads of the
    // store.
    Revision m_shardsRevision;
    std::mutex m_mutex;
};

} // namespace kingcuploom
