#include "daemon/AuditLog.h"

#include "AuditRing.h"
#include "base/Log.h"
#include "schema/RecordCodec.h"

#include <algorithm>
#include <map>

namespace kingcuploom {

namespace {

    constexpr auto writeInterval = std::chrono::seconds(1);

    // Writes of the last events when the daemon stops.
    constexpr int maxFinalBatches = 8;

    constexpr std::size_t maxShortText = 64;
    constexpr std::size_t maxObjectText = 128;
    constexpr std::size_t maxFiguresText = 320;

    constexpr std::size_t changeRing = 0;
    constexpr std::size_t taskRing = 1;

    std::string ringOf(const std::string& key) { return key.substr(0, key.rfind('/') + 1); }

    void truncateTexts(schema::AuditEventT& event)
    {
        event.actor.resize(std::min(event.actor.size(), maxShortText));
        event.action.resize(std::min(event.action.size(), maxShortText));
        event.reason.resize(std::min(event.reason.size(), maxShortText));
        event.object.resize(std::min(event.object.size(), maxObjectText));
        event.figures.resize(std::min(event.figures.size(), maxFiguresText));
    }

    bool matches(const AuditFilter& filter, const schema::AuditEventT& event)
    {
        if (event.time_ms < filter.sinceMs || (filter.untilMs && event.time_ms > *filter.untilMs))
            return false;
        if (filter.object.empty() || event.object == filter.object)
            return true;
        return filter.object.ends_with('/') && event.object.starts_with(filter.object);
    }

    void logAuditEvent(const schema::AuditEventT& event)
    {
        logEvent(LogLevel::Info, "audit",
            { { "object", event.object }, { "action", event.action }, { "reason", event.reason }, { "actor", event.actor },
                { "revision_before", event.revision_before }, { "revision_after", event.revision_after }, { "figures", event.figures } });
    }

    prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

const char* const AuditLog::storePrefix = "/kingcuploom/audit/";

AuditLog::Metrics::Metrics(prometheus::Registry& registry)
    : events(counter(registry, "kingcuploom_audit_events_total", "Audit events recorded"))
    , dropped(counter(registry, "kingcuploom_audit_events_dropped_total", "Audit events that were logged but not stored"))
    , batches(counter(registry, "kingcuploom_audit_batches_total", "Batches of audit events stored"))
    , failedWrites(counter(registry, "kingcuploom_audit_failed_writes_total", "Writes of audit batches that failed"))
{
}

AuditLog::AuditLog(const schema::SettingsT& settings, const Clock& clock, store::Store& store, prometheus::Registry& registry)
    : m_daemon(settings.daemon_id)
    , m_clock(clock)
    , m_store(store)
    , m_metrics(registry)
    , m_rings { std::make_unique<AuditRing>(storePrefix + m_daemon + "/changes/", store),
        std::make_unique<AuditRing>(storePrefix + m_daemon + "/tasks/", store) }
{
}

AuditLog::~AuditLog() { stop(); }

void AuditLog::start()
{
    m_thread = std::thread([this] { run(); });
}

void AuditLog::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void AuditLog::run()
{
    for (;;) {
        flush();
        std::unique_lock lock(m_mutex);
        if (m_wake.wait_for(lock, writeInterval, [this] { return m_isStopping; }))
            break;
    }
    writeAll();
}

void AuditLog::writeAll()
{
    for (int i = 0; i < maxFinalBatches && hasPending() && flush(); ++i) { }
    std::size_t n = 0;
    for (const auto& ring : m_rings)
        n += ring->pending().size();
    if (n != 0)
        logEvent(LogLevel::Warning, "audit_events_not_stored", { { "count", n } });
}

bool AuditLog::hasPending() const
{
    return std::ranges::any_of(m_rings, [](const auto& ring) { return !ring->pending().empty(); });
}

AuditRing& AuditLog::ringFor(const schema::AuditEventT& event) const
{
    return *m_rings[event.object.starts_with("task/") ? taskRing : changeRing];
}

void AuditLog::record(schema::AuditEventT event)
{
    event.daemon = m_daemon;
    event.time_ms = std::chrono::duration_cast<Milliseconds>(m_clock.wallNow().time_since_epoch()).count();
    truncateTexts(event);
    logAuditEvent(event);
    m_metrics.events.Increment();
    if (ringFor(event).push(event))
        return;
    m_metrics.dropped.Increment();
    const std::scoped_lock lock(m_mutex);
    ++m_droppedCount;
}

bool AuditLog::beginFlush()
{
    const std::scoped_lock lock(m_mutex);
    return !std::exchange(m_isFlushing, true);
}

void AuditLog::endFlush()
{
    const std::scoped_lock lock(m_mutex);
    m_isFlushing = false;
}

bool AuditLog::flush()
{
    if (!beginFlush())
        return false;
    if (!m_wasPruned)
        pruneRings();
    const bool isStored = flushRings();
    endFlush();
    if (isStored)
        reportDropped();
    return isStored;
}

// At most one write: the second ring has its turn when the first has nothing to write.
bool AuditLog::flushRings()
{
    const auto first = m_nextRing;
    const auto second = (first + 1) % m_rings.size();
    m_nextRing = second;
    auto result = m_rings[first]->flush();
    if (result == AuditRing::FlushResult::NothingPending)
        result = m_rings[second]->flush();
    if (result == AuditRing::FlushResult::Stored)
        m_metrics.batches.Increment();
    if (result == AuditRing::FlushResult::Failed)
        m_metrics.failedWrites.Increment();
    return result == AuditRing::FlushResult::Stored;
}

void AuditLog::reportDropped()
{
    std::uint64_t droppedCount = 0;
    {
        const std::scoped_lock lock(m_mutex);
        droppedCount = std::exchange(m_droppedCount, 0);
    }
    if (droppedCount == 0)
        return;
    schema::AuditEventT event;
    event.actor = "system";
    event.object = "audit/" + m_daemon;
    event.action = "audit_events_dropped";
    event.reason = "too_many_pending";
    event.figures = "count=" + std::to_string(droppedCount);
    record(std::move(event));
}

void AuditLog::pruneRings()
{
    const auto listing = m_store.list(storePrefix);
    if (!listing)
        return;
    m_wasPruned = true;
    removeExcessRings(*listing);
}

void AuditLog::removeExcessRings(const store::Listing& listing)
{
    std::map<std::string, std::vector<store::KeyValue>> rings;
    const auto ownPrefix = storePrefix + m_daemon + "/";
    for (const auto& entry : listing.entries) {
        if (!entry.key.starts_with(ownPrefix))
            rings[ringOf(entry.key)].push_back(entry);
    }
    const auto lastWrite = [](const auto& entries) { return std::ranges::max(entries, {}, &store::KeyValue::modRevision).modRevision; };
    while (rings.size() + m_rings.size() > maxRings) {
        const auto oldest = std::ranges::min_element(rings, {}, [&](const auto& ring) { return lastWrite(ring.second); });
        for (const auto& entry : oldest->second)
            static_cast<void>(m_store.compareAndDelete(entry.key, entry.modRevision));
        logEvent(LogLevel::Info, "audit_ring_removed", { { "ring", oldest->first }, { "batches", oldest->second.size() } });
        rings.erase(oldest);
    }
}

Expected<std::vector<schema::AuditEventT>, store::StoreError> AuditLog::query(const AuditFilter& filter) const
{
    std::vector<schema::AuditEventT> pending;
    // Taken before the read: an event that is stored in between appears in both, and the copy is dropped below.
    for (const auto& ring : m_rings)
        std::ranges::copy_if(ring->pending(), std::back_inserter(pending), [&](const auto& event) { return matches(filter, event); });
    const auto listing = m_store.list(storePrefix);
    if (!listing)
        return makeUnexpected(listing.error());
    std::vector<schema::AuditEventT> events;
    for (const auto& entry : listing->entries) {
        auto batch = schema::decode<schema::AuditBatchT>(entry.value);
        if (!batch)
            continue;
        for (const auto& event : batch->events) {
            if (matches(filter, *event))
                events.push_back(*event);
        }
    }
    const auto identity
        = [](const auto& event) { return std::tie(event.time_ms, event.daemon, event.object, event.action, event.figures); };
    for (const auto& event : pending) {
        const auto isSame = [&](const auto& other) { return identity(other) == identity(event); };
        if (std::ranges::none_of(events, isSame))
            events.push_back(event);
    }
    std::ranges::stable_sort(events, {}, [](const auto& event) { return event.time_ms; });
    if (events.size() > filter.limit)
        events.erase(events.begin(), events.end() - static_cast<std::ptrdiff_t>(filter.limit));
    return events;
}

} // namespace kingcuploom
