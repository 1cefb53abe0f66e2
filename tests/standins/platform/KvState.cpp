#include "KvState.h"

#include <algorithm>

namespace kingcuploom::testing {

namespace {

    // Interval at which a waiting watch checks for expired leases.
    constexpr Milliseconds leaseCheckInterval { 20 };

    MonotonicTime steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

void KvState::record(KvChange change)
{
    m_history.push_back(std::move(change));
    if (m_history.size() > maxHistory) {
        m_historyBegin = m_history.front().revision;
        m_history.pop_front();
    }
    m_changed.notify_all();
}

void KvState::write(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = m_items[key];
    item.key = key;
    item.value = value;
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    record({ item, key, m_revision });
}

void KvState::erase(const std::string& key)
{
    if (m_items.erase(key) > 0)
        record({ std::nullopt, key, m_revision });
}

void KvState::removeKeysOfLease(std::int64_t lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    std::ranges::for_each(keys, [&](const auto& key) { erase(key); });
}

void KvState::expireLeases()
{
    const auto now = steadyNow();
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.end > now) {
            ++it;
            continue;
        }
        removeKeysOfLease(it->first);
        it = m_leases.erase(it);
    }
}

std::optional<KvItem> KvState::get(const std::string& key, std::int64_t& asOf)
{
    const std::scoped_lock lock(m_mutex);
    expireLeases();
    asOf = m_revision;
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::nullopt : std::optional(it->second);
}

KvPage KvState::list(const std::string& prefix, const std::string& after, std::size_t limit)
{
    const std::scoped_lock lock(m_mutex);
    expireLeases();
    KvPage page;
    page.asOf = m_revision;
    for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (!after.empty() && it->first <= after)
            continue;
        page.hasMore = page.items.size() == limit;
        if (page.hasMore)
            break;
        page.items.push_back(it->second);
    }
    return page;
}

KvChanges KvState::watch(const std::string& prefix, std::int64_t after, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto until = steadyNow() + wait;
    for (;;) {
        expireLeases();
        KvChanges result;
        result.asOf = m_revision;
        if (after < m_historyBegin) {
            result.outcome = KvOutcome::HistoryCompacted;
            return result;
        }
        const auto first = std::ranges::upper_bound(m_history, after, {}, &KvChange::revision);
        std::copy_if(
            first, m_history.end(), std::back_inserter(result.changes), [&](const KvChange& it) { return it.key.starts_with(prefix); });
        if (!result.changes.empty() || steadyNow() >= until || m_isStopped)
            return result;
        m_changed.wait_for(lock, leaseCheckInterval);
    }
}

KvTransactionResult KvState::transact(const KvTransaction& transaction)
{
    const std::scoped_lock lock(m_mutex);
    expireLeases();
    const auto entries = transaction.conditions.size() + transaction.writes.size() + transaction.removals.size();
    if (entries > maxTransactionEntries)
        return { KvOutcome::TooLarge, m_revision, {} };
    KvTransactionResult result;
    for (const auto& condition : transaction.conditions) {
        const auto it = m_items.find(condition.key);
        if (it != m_items.end())
            result.current.push_back(it->second);
        if ((it == m_items.end() ? 0 : it->second.revision) != condition.revision)
            result.outcome = KvOutcome::Conflict;
    }
    if (result.outcome == KvOutcome::Conflict)
        return result;
    const bool isLeaseMissing
        = std::ranges::any_of(transaction.writes, [&](const KvItem& it) { return it.lease != 0 && !m_leases.contains(it.lease); });
    if (isLeaseMissing)
        return { KvOutcome::NoSuchLease, m_revision, {} };
    ++m_revision;
    std::ranges::for_each(transaction.writes, [&](const KvItem& it) { write(it.key, it.value, it.lease); });
    std::ranges::for_each(transaction.removals, [&](const std::string& it) { erase(it); });
    result.revision = m_revision;
    return result;
}

std::int64_t KvState::grantLease(Milliseconds ttl)
{
    const std::scoped_lock lock(m_mutex);
    m_leases[++m_lastLease] = { ttl, steadyNow() + ttl };
    return m_lastLease;
}

bool KvState::renewLease(std::int64_t lease)
{
    const std::scoped_lock lock(m_mutex);
    expireLeases();
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return false;
    it->second.end = steadyNow() + it->second.ttl;
    return true;
}

bool KvState::revokeLease(std::int64_t lease)
{
    const std::scoped_lock lock(m_mutex);
    if (m_leases.erase(lease) == 0)
        return false;
    removeKeysOfLease(lease);
    return true;
}

void KvState::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(m_mutex);
    ++m_revision;
    write(key, value, 0);
}

void KvState::remove(const std::string& key)
{
    const std::scoped_lock lock(m_mutex);
    ++m_revision;
    erase(key);
}

void KvState::dropHistory()
{
    const std::scoped_lock lock(m_mutex);
    // Advances the revision so that a watch from the newest revision fails as well.
    m_historyBegin = ++m_revision;
    m_history.clear();
    m_changed.notify_all();
}

void KvState::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

} // namespace kingcuploom::testing
