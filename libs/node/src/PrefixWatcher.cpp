#include "node/PrefixWatcher.h"

#include "base/Log.h"

namespace kingcuploom::node {

namespace {

    // Delay before a retry after a failed call to the store.
    constexpr Milliseconds retryDelay { 150 };
    // Long-poll time of the first watch after a failed call, which shows soon whether the store serves this prefix again.
    constexpr Milliseconds firstWatchTimeout { 200 };

} // namespace

const char* toString(StoreError error)
{
    switch (error) {
    case StoreError::Refused:
        return "refused";
    case StoreError::NoAnswer:
        return "no_answer";
    case StoreError::Conflict:
        return "conflict";
    case StoreError::LeaseExpired:
        return "lease_gone";
    case StoreError::HistoryCompacted:
        return "history_gone";
    case StoreError::Malformed:
        break;
    }
    return "malformed";
}

PrefixWatcher::PrefixWatcher(boost::asio::io_context& loop, AsyncStore& store, const Clock& clock, std::string prefix,
    Milliseconds watchTimeout, WatchCallbacks callbacks, AfterFailure afterFailure)
    : m_store(store)
    , m_clock(clock)
    , m_prefix(std::move(prefix))
    , m_watchTimeout(watchTimeout)
    , m_callbacks(std::move(callbacks))
    , m_afterFailure(afterFailure)
    , m_timer(loop)
{
}

void PrefixWatcher::start()
{
    m_answeredAt = m_clock.now();
    list({});
}

void PrefixWatcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void PrefixWatcher::list(const std::string& after)
{
    m_isListing = true;
    m_listAfter = after;
    if (after.empty()) {
        m_listedKeys.clear();
        m_listRevision.reset();
        m_listSentAt = m_clock.now();
    }
    m_store.list(m_prefix, after, [self = shared_from_this()](const Expected<StorePage, StoreError>& page) {
        if (self->m_isStopped)
            return;
        if (!page)
            return self->onFailure(page.error());
        if (isCutWithoutItems(*page))
            return self->onFailure(StoreError::Malformed);
        self->onPage(*page, self->m_listSentAt);
    });
}

void PrefixWatcher::onPage(const StorePage& page, MonotonicTime sentAt)
{
    m_answeredAt = m_clock.now();
    if (!m_listRevision)
        m_listRevision = page.asOf;
    for (const auto& item : page.items) {
        m_listedKeys[item.key] = item.revision;
        apply(item.key, item.value, item.revision);
        if (m_isStopped)
            return;
    }
    if (page.hasMore)
        return list(page.items.back().key);
    std::vector<std::string> removed;
    for (const auto& [key, revision] : m_knownRevisions) {
        if (!m_listedKeys.contains(key))
            removed.push_back(key);
    }
    for (const auto& key : removed) {
        apply(key, std::nullopt, *m_listRevision);
        if (m_isStopped)
            return;
    }
    m_isListing = false;
    m_watchRevision = *m_listRevision;
    m_callbacks.onCurrent(sentAt);
    if (!m_isStopped)
        watch();
}

void PrefixWatcher::watch()
{
    const auto sentAt = m_clock.now();
    const auto timeout = m_hasFailed ? std::min(m_watchTimeout, firstWatchTimeout) : m_watchTimeout;
    m_store.watch(m_prefix, m_watchRevision, timeout, [self = shared_from_this(), sentAt](const Expected<StoreEvents, StoreError>& events) {
        if (self->m_isStopped)
            return;
        if (!events)
            return self->onFailure(events.error());
        self->onEvents(*events, sentAt);
    });
}

void PrefixWatcher::onEvents(const StoreEvents& events, MonotonicTime sentAt)
{
    m_answeredAt = m_clock.now();
    m_hasFailed = false;
    for (const auto& event : events.events) {
        apply(event.key, event.value, event.revision);
        if (m_isStopped)
            return;
    }
    m_watchRevision = std::max(m_watchRevision, events.asOf);
    m_callbacks.onCurrent(sentAt);
    if (!m_isStopped)
        watch();
}

void PrefixWatcher::apply(const std::string& key, const std::optional<std::string>& value, Revision revision)
{
    const auto it = m_knownRevisions.find(key);
    if (it != m_knownRevisions.end() && revision <= it->second)
        return;
    if (!value && it == m_knownRevisions.end())
        return;
    if (value)
        m_knownRevisions[key] = revision;
    else
        m_knownRevisions.erase(it);
    // The listing and the next watch do not depend on what the user makes of one entry.
    try {
        m_callbacks.onChange(key, value, revision);
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "store_change_failed", { { "key", key }, { "revision", revision }, { "reason", error.what() } });
    }
}

void PrefixWatcher::onFailure(StoreError error)
{
    m_hasFailed = true;
    m_callbacks.onFailure(error);
    if (m_isStopped)
        return;
    if (error == StoreError::HistoryCompacted)
        return list({});
    scheduleRetry();
}

void PrefixWatcher::scheduleRetry()
{
    m_timer.expires_after(retryDelay);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->m_isStopped)
            return;
        // Reading the first pages again would look like progress while a later one is never answered.
        if (self->m_isListing)
            self->list(self->m_listAfter);
        else if (self->m_afterFailure == AfterFailure::List)
            self->list({});
        else
            self->watch();
    });
}

} // namespace kingcuploom::node
