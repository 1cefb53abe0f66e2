#include "OwnershipWatcher.h"

#include "OwnershipExecutor.h"
#include "ShardLogKeys.h"

#include <algorithm>

namespace kingcuploom {

using namespace ownership;

namespace {

    constexpr Milliseconds minBackoff { 100 };
    constexpr Milliseconds maxBackoff { 3000 };

} // namespace

OwnershipWatcher::OwnershipWatcher(const Clock& clock, store::Store& store, ShardRecords& records, std::uint64_t seed, EventHandler handler)
    : m_clock(clock)
    , m_store(store)
    , m_records(records)
    , m_random(seed)
    , m_handler(std::move(handler))
{
}

bool OwnershipWatcher::isDue(const Follow& follow) const { return follow.isLost && m_clock.now() >= follow.nextTryAt; }

void OwnershipWatcher::retryLater(Follow& follow)
{
    follow.backoff = std::clamp(2 * follow.backoff, minBackoff, maxBackoff);
    const auto half = static_cast<std::uint64_t>(follow.backoff.count()) / 2;
    follow.nextTryAt = m_clock.now() + Milliseconds(static_cast<Milliseconds::rep>(half + m_random.below(half + 1)));
}

void OwnershipWatcher::poll()
{
    if (isDue(m_members))
        followMembers();
    if (isDue(m_shards))
        followShards();
    if (m_clock.now() >= m_gaps.nextTryAt)
        closeGaps();
}

void OwnershipWatcher::closeGaps()
{
    const auto shards = m_records.incomplete();
    if (shards.empty())
        return;
    const auto sentAt = m_clock.now();
    for (const auto& shard : shards) {
        if (!m_records.refresh(shard))
            return retryLater(m_gaps);
        report(shard, sentAt);
    }
    m_gaps.backoff = {};
}

void OwnershipWatcher::stop()
{
    m_members.watch.reset();
    m_shards.watch.reset();
}

void OwnershipWatcher::followMembers()
{
    m_members.watch.reset();
    const auto sentAt = m_clock.now();
    const auto listing = m_store.list(memberPrefix);
    if (!listing)
        return retryLater(m_members);
    MembersListed event { {}, listing->storeRevision, sentAt };
    for (const auto& entry : listing->entries) {
        if (auto member = parseMember(entry.value))
            event.members.push_back(std::move(*member));
    }
    m_handler(event);
    m_members.isLost = false;
    m_members.backoff = {};
    m_members.watch = m_store.watch(
        memberPrefix, listing->storeRevision.next(), [this](const auto& events) { takeMemberEvents(events); },
        [this] { m_members.isLost = true; });
}

void OwnershipWatcher::followShards()
{
    m_shards.watch.reset();
    // Keys of shards are never deleted, so the changes since the last known revision are complete.
    const auto listing = m_store.list(shardPrefix, shardsRevision());
    if (!listing)
        return retryLater(m_shards);
    for (const auto& shard : m_records.observeListing(listing->entries))
        report(shard, std::nullopt);
    m_handler(ShardsListed {});
    noteShardsRevision(listing->storeRevision);
    m_shards.isLost = false;
    m_shards.backoff = {};
    m_shards.watch = m_store.watch(
        shardPrefix, listing->storeRevision.next(), [this](const auto& events) { takeShardEvents(events); },
        [this] { m_shards.isLost = true; });
}

void OwnershipWatcher::takeMemberEvents(const std::vector<store::WatchEvent>& events)
{
    for (const auto& event : events) {
        if (!event.value) {
            m_handler(MemberRemoved { DaemonId(event.key.substr(sizeof(memberPrefix) - 1)), event.revision });
        } else if (auto member = parseMember(*event.value)) {
            m_handler(MemberChanged { std::move(*member), event.revision });
        }
    }
}

Revision OwnershipWatcher::shardsRevision()
{
    const std::scoped_lock lock(m_mutex);
    return m_shardsRevision;
}

void OwnershipWatcher::noteShardsRevision(Revision revision)
{
    const std::scoped_lock lock(m_mutex);
    m_shardsRevision = std::max(m_shardsRevision, revision);
}

void OwnershipWatcher::takeShardEvents(const std::vector<store::WatchEvent>& events)
{
    for (const auto& event : events) {
        // Events come in this order, so a listing after a break needs only what is newer. The keys of all shards are some 80 MB.
        noteShardsRevision(event.revision);
        if (!event.value)
            continue;
        if (const auto shard = m_records.observe({ event.key, *event.value, event.revision }))
            report(*shard, std::nullopt);
    }
}

void OwnershipWatcher::report(const ShardId& shard, std::optional<MonotonicTime> readSentAt)
{
    if (const auto owner = shardOwnerOf(m_records.findVersion(shard)))
        m_handler(ShardSeen { shard, *owner, readSentAt });
}

} // namespace kingcuploom
