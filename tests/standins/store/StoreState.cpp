#include "StoreState.h"

#include <algorithm>
#include <iterator>

namespace kingcuploom::testing {

namespace {

    // Watches that start before the retained history are cancelled, as etcd does after a compaction.
    constexpr std::size_t maxHistoryEvents = 20'000;

    // Upper bound of the delay between the expiry of a lease and the removal of its keys.
    constexpr std::chrono::milliseconds leaseCheckInterval { 20 };

    RangeResult selectEntries(const std::map<std::string, StoredEntry>& entries, std::int64_t revision, const KeyRange& range,
        std::int64_t minModRevision, std::int64_t limit)
    {
        RangeResult result { revision, {}, false };
        for (auto it = entries.lower_bound(range.begin); it != entries.end() && range.contains(it->first); ++it) {
            if (it->second.modRevision < minModRevision)
                continue;
            if (limit > 0 && std::ssize(result.entries) == limit) {
                result.hasMore = true;
                break;
            }
            result.entries.push_back(it->second);
        }
        return result;
    }

} // namespace

bool KeyRange::contains(const std::string& key) const
{
    if (end.empty())
        return key == begin;
    return key >= begin && (end == std::string(1, '\0') || key < end);
}

StoreState::StoreState()
    : m_expiryThread([this] { expireLeases(); })
{
}

StoreState::~StoreState()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_expiryThread.join();
}

RangeResult StoreState::range(const KeyRange& range, std::int64_t minModRevision, std::int64_t limit) const
{
    const std::scoped_lock lock(m_mutex);
    return selectEntries(m_entries, m_revision, range, minModRevision, limit);
}

RangeResult StoreState::rangeAt(std::int64_t revision, const KeyRange& range, std::int64_t minModRevision, std::int64_t limit) const
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, StoredEntry> entries;
    for (const auto& event : m_history) {
        if (event.entry.modRevision > revision)
            break;
        if (event.isDelete)
            entries.erase(event.entry.key);
        else
            entries[event.entry.key] = event.entry;
    }
    return selectEntries(entries, revision, range, minModRevision, limit);
}

TransactionResult StoreState::apply(const Transaction& transaction)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_entries.find(transaction.key);
    if ((it == m_entries.end() ? 0 : it->second.modRevision) != transaction.expected)
        return { TransactionOutcome::CompareFailed, m_revision, it == m_entries.end() ? std::nullopt : std::optional(it->second) };
    if (transaction.lease != 0 && !m_leases.contains(transaction.lease))
        return { TransactionOutcome::LeaseNotFound, m_revision, std::nullopt };
    if (transaction.value)
        put(transaction);
    else if (it != m_entries.end())
        remove(transaction.key, ++m_revision);
    m_changed.notify_all();
    return { TransactionOutcome::Written, m_revision, std::nullopt };
}

void StoreState::put(const Transaction& transaction)
{
    ++m_revision;
    auto& entry = m_entries[transaction.key];
    if (entry.lease != 0)
        m_leases[entry.lease].keys.erase(transaction.key);
    if (entry.version == 0)
        entry.createRevision = m_revision;
    entry.key = transaction.key;
    entry.value = *transaction.value;
    entry.modRevision = m_revision;
    entry.lease = transaction.lease;
    ++entry.version;
    if (entry.lease != 0)
        m_leases[entry.lease].keys.insert(transaction.key);
    record({ false, entry });
}

void StoreState::remove(const std::string& key, std::int64_t revision)
{
    const auto it = m_entries.find(key);
    if (const auto lease = m_leases.find(it->second.lease); lease != m_leases.end())
        lease->second.keys.erase(key);
    m_entries.erase(it);
    record({ true, { key, {}, 0, revision, 0, 0 } });
}

void StoreState::record(StoredEvent event)
{
    m_history.push_back(std::move(event));
    if (m_history.size() <= maxHistoryEvents)
        return;
    m_firstRetainedRevision = m_history.front().entry.modRevision + 1;
    m_history.pop_front();
}

std::int64_t StoreState::grantLease(std::chrono::seconds timeToLive)
{
    const std::scoped_lock lock(m_mutex);
    m_leases[++m_lastLeaseId] = { timeToLive, std::chrono::steady_clock::now() + timeToLive, {} };
    return m_lastLeaseId;
}

std::int64_t StoreState::keepLeaseAlive(std::int64_t lease)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return 0;
    it->second.deadline = std::chrono::steady_clock::now() + it->second.timeToLive;
    return it->second.timeToLive.count();
}

bool StoreState::revokeLease(std::int64_t lease)
{
    const std::scoped_lock lock(m_mutex);
    return revokeLocked(lease);
}

bool StoreState::revokeLocked(std::int64_t lease)
{
    const auto node = m_leases.extract(lease);
    if (node.empty())
        return false;
    // All keys of a lease are removed in the same revision.
    if (!node.mapped().keys.empty())
        ++m_revision;
    std::ranges::for_each(node.mapped().keys, [this](const auto& key) { remove(key, m_revision); });
    m_changed.notify_all();
    return true;
}

void StoreState::expireLeases()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const auto now = std::chrono::steady_clock::now();
        std::vector<std::int64_t> lapsed;
        for (const auto& [id, lease] : m_leases) {
            if (lease.deadline <= now)
                lapsed.push_back(id);
        }
        std::ranges::for_each(lapsed, [this](auto id) { revokeLocked(id); });
        m_changed.wait_for(lock, leaseCheckInterval, [this] { return m_isStopping; });
    }
}

std::int64_t StoreState::getLease(const std::string& key) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? 0 : it->second.lease;
}

std::int64_t StoreState::revision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_revision;
}

std::int64_t StoreState::firstRetainedRevision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_firstRetainedRevision;
}

std::vector<StoredEvent> StoreState::eventsFrom(const KeyRange& range, std::int64_t from) const
{
    const auto first = std::ranges::lower_bound(m_history, from, {}, [](const StoredEvent& event) { return event.entry.modRevision; });
    std::vector<StoredEvent> events;
    std::copy_if(first, m_history.end(), std::back_inserter(events), [&](const auto& event) { return range.contains(event.entry.key); });
    return events;
}

std::vector<StoredEvent> StoreState::waitForEvents(const KeyRange& range, std::int64_t from, const std::function<bool()>& isEnded)
{
    std::unique_lock lock(m_mutex);
    std::vector<StoredEvent> events;
    m_changed.wait(lock, [&] {
        events = eventsFrom(range, from);
        return !events.empty() || isEnded();
    });
    return events;
}

void StoreState::notifyWatches()
{
    // Without the lock, a watch could miss the notification between checking its condition and waiting.
    const std::scoped_lock lock(m_mutex);
    m_changed.notify_all();
}

} // namespace kingcuploom::testing
