#include "AuditRing.h"

#include "schema/RecordCodec.h"

#include <algorithm>
#include <charconv>

namespace kingcuploom {

namespace {

    // A batch of new events has at most 64 KiB, which limits a ring to 4 MiB.
    constexpr std::size_t maxBatchBytes = 64 * 1024;
    // A stored batch is extended up to this size. Without it, events that come one by one would use a slot each and a ring would hold only
    // 64 of them; a larger limit would rewrite more bytes for each event.
    constexpr std::size_t maxExtendedBytes = 16 * 1024;
    constexpr std::size_t eventOverheadBytes = 96;

    std::size_t sizeOf(const schema::AuditEventT& event)
    {
        return eventOverheadBytes + event.daemon.size() + event.actor.size() + event.object.size() + event.action.size()
            + event.reason.size() + event.figures.size();
    }

    std::size_t sizeOf(const schema::AuditBatchT& batch)
    {
        std::size_t bytes = 0;
        for (const auto& event : batch.events)
            bytes += sizeOf(*event);
        return bytes;
    }

    bool hasRoom(const schema::AuditBatchT& batch)
    {
        return batch.events.size() < AuditRing::maxEventsPerBatch && sizeOf(batch) < maxExtendedBytes;
    }

    std::uint64_t nextSequence(const schema::AuditBatchT& batch) { return batch.first_sequence + batch.events.size(); }

} // namespace

AuditRing::AuditRing(std::string prefix, store::Store& store)
    : m_prefix(std::move(prefix))
    , m_store(store)
{
    m_newest.first_sequence = 1;
}

bool AuditRing::push(const schema::AuditEventT& event)
{
    const std::scoped_lock lock(m_mutex);
    // The older events are kept, because they show what started the burst.
    if (m_pending.size() >= maxPendingEvents)
        return false;
    m_pending.push_back(event);
    return true;
}

std::vector<schema::AuditEventT> AuditRing::pending() const
{
    const std::scoped_lock lock(m_mutex);
    return { m_pending.begin(), m_pending.end() };
}

AuditRing::FlushResult AuditRing::flush()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_pending.empty() && !m_write)
            return FlushResult::NothingPending;
    }
    if (!m_isLoaded && !load())
        return FlushResult::Failed;
    if (!m_write)
        m_write = nextWrite();
    return m_write ? write() : FlushResult::NothingPending;
}

std::string AuditRing::keyOf(std::size_t slot) const { return m_prefix + std::to_string(slot); }

std::optional<std::size_t> AuditRing::slotOf(const std::string& key) const
{
    const std::string_view digits = std::string_view(key).substr(m_prefix.size());
    std::size_t slot = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), slot);
    if (ec != std::errc() || end != digits.data() + digits.size() || slot >= slotCount)
        return std::nullopt;
    return slot;
}

// A new process of this daemon continues in the newest batch of the earlier one.
bool AuditRing::load()
{
    const auto listing = m_store.list(m_prefix);
    if (!listing)
        return false;
    adopt(*listing);
    m_isLoaded = true;
    return true;
}

void AuditRing::adopt(const store::Listing& listing)
{
    const auto expected = m_write ? m_revisions[m_write->slot] : Revision();
    std::ranges::fill(m_revisions, Revision());
    bool isWritten = false;
    for (const auto& entry : listing.entries) {
        const auto slot = slotOf(entry.key);
        if (!slot)
            continue;
        m_revisions[*slot] = entry.modRevision;
        isWritten = isWritten || (m_write && *slot == m_write->slot && entry.value == m_write->value);
        if (auto batch = schema::decode<schema::AuditBatchT>(entry.value))
            adoptNewest(*slot, std::move(*batch));
    }
    if (!m_write)
        return;
    if (isWritten)
        complete(m_revisions[m_write->slot]);
    else if (m_revisions[m_write->slot] != expected)
        m_write.reset();
}

void AuditRing::adoptNewest(std::size_t slot, schema::AuditBatchT batch)
{
    if (nextSequence(batch) <= nextSequence(m_newest))
        return;
    m_slot = slot;
    m_newest = std::move(batch);
}

std::optional<AuditRing::Write> AuditRing::nextWrite() const
{
    const bool isExtended = hasRoom(m_newest);
    Write next;
    next.slot = isExtended ? m_slot : (m_slot + 1) % slotCount;
    if (isExtended)
        next.batch = m_newest;
    else
        next.batch.first_sequence = nextSequence(m_newest);
    auto bytes = sizeOf(next.batch);
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& event : m_pending) {
            bytes += sizeOf(event);
            if (next.batch.events.size() == maxEventsPerBatch || bytes > maxBatchBytes)
                break;
            next.batch.events.push_back(std::make_unique<schema::AuditEventT>(event));
            ++next.newEvents;
        }
    }
    if (next.newEvents == 0)
        return std::nullopt;
    next.value = schema::encode(next.batch);
    return next;
}

AuditRing::FlushResult AuditRing::write()
{
    const auto result = m_store.compareAndSwap(keyOf(m_write->slot), m_revisions[m_write->slot], m_write->value);
    if (result) {
        complete(*result);
        return FlushResult::Stored;
    }
    // Except when nothing reached the store, the ring is read again: the batch may be there, or another process of this daemon writes.
    if (result.error().code != store::StoreErrorCode::Unavailable)
        m_isLoaded = false;
    return FlushResult::Failed;
}

void AuditRing::complete(Revision revision)
{
    auto written = *std::exchange(m_write, std::nullopt);
    m_revisions[written.slot] = revision;
    m_slot = written.slot;
    m_newest = std::move(written.batch);
    const std::scoped_lock lock(m_mutex);
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(written.newEvents));
}

} // namespace kingcuploom
