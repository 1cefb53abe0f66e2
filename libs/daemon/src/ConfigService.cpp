#include "daemon/ConfigService.h"

#include "base/Log.h"
#include "schema/Guards.h"
#include "schema/JsonCodec.h"

#include <algorithm>
#include <random>

namespace kingcuploom {

namespace {

    constexpr auto tombstoneAge = std::chrono::hours(1);

    // Reads that peers trigger are at least this far apart, so that a wrong report cannot use up the store's rate.
    constexpr auto minTriggeredReadSpacing = std::chrono::milliseconds(100);

    // Failed reads are spaced out up to this multiple of the poll interval; the spacing stays short because the recovery of the store
    // has to be noticed within the bound of 3 s for failure domains.
    constexpr unsigned maxBackoffFactor = 4;

    void addToSnapshot(ConfigSnapshot& snapshot, const resources::ResourceKey& key, const schema::ResourceT& resource)
    {
        if (resource.service)
            snapshot.services.emplace(key.name, *resource.service);
        if (resource.failure_domain)
            snapshot.domains.emplace(key.name, *resource.failure_domain);
        if (resource.team)
            snapshot.teams.emplace(key.name, *resource.team);
        if (resource.policy)
            snapshot.policy = *resource.policy;
    }

    std::uint64_t writeIdSeed(const schema::SettingsT& settings, const Clock& clock)
    {
        // Two daemons, or two runs of one daemon, must not draw the same write ids.
        const auto time = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
        std::random_device device;
        return (std::uint64_t(device()) << 32) ^ device() ^ time ^ std::hash<std::string>()(settings.daemon_id);
    }

} // namespace

ConfigService::ConfigService(
    const schema::SettingsT& settings, const Clock& clock, store::Store& store, AuditSink& audit, prometheus::Registry& registry)
    : m_settings(settings)
    , m_clock(clock)
    , m_store(store)
    , m_audit(audit)
    , m_metrics(registry)
    , m_snapshot(std::make_shared<ConfigSnapshot>())
    , m_random(writeIdSeed(settings, clock))
{
    m_table.isRevisionOrderIgnored = !schema::isGuardOn(settings, schema::Guard::RevisionOrder);
}

ConfigService::~ConfigService() { stop(); }

void ConfigService::start()
{
    m_thread = std::thread([this] { run(); });
}

void ConfigService::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

std::shared_ptr<const ConfigSnapshot> ConfigService::snapshot() const
{
    const std::scoped_lock lock(m_mutex);
    return m_snapshot;
}

std::optional<MonotonicTime> ConfigService::confirmedAt() const
{
    const std::scoped_lock lock(m_mutex);
    return m_confirmedAt;
}

Revision ConfigService::knownRevisionLocked() const
{
    return std::max({ m_table.newestRevision, m_table.confirmedRevision, m_history.minRevision });
}

Revision ConfigService::knownRevision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_table.newestRevision;
}

void ConfigService::noteRevision(Revision revision)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (revision <= knownRevisionLocked() || m_isReadWanted)
            return;
        m_isReadWanted = true;
    }
    m_metrics.triggeredReads.Increment();
    m_wake.notify_all();
}

void ConfigService::run()
{
    for (;;) {
        const auto sentAt = m_clock.now();
        const bool isConfirmed = confirmOnce();
        logTransition(isConfirmed);
        m_failures = isConfirmed ? 0 : m_failures + 1;
        if (isConfirmed)
            removeExpiredTombstones();
        if (!waitForNextRead(nextInterval(sentAt)))
            break;
    }
    closeWatch();
}

void ConfigService::logTransition(bool isConfirmed)
{
    if (isConfirmed && m_failures > 0)
        logEvent(LogLevel::Info, "config_confirmed_again", { { "failed_reads", m_failures } });
    if (!isConfirmed && m_failures == 0)
        logEvent(LogLevel::Warning, "config_unconfirmed", { { "effect", "no task starts until a read succeeds" } });
}

Milliseconds ConfigService::nextInterval(MonotonicTime sentAt)
{
    const auto poll = Milliseconds(m_settings.config_poll_ms);
    if (m_failures == 0) {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_clock.now() - sentAt);
        return std::max(poll - elapsed, Milliseconds(1));
    }
    const auto factor = std::min(1U << std::min(m_failures, 8U), maxBackoffFactor);
    const auto longest = poll * factor;
    // Half of the interval is random, so that the daemons do not return to a recovered store at the same moment.
    const std::scoped_lock lock(m_mutex);
    return longest - Milliseconds(m_random.below(static_cast<std::uint64_t>(longest.count()) / 2));
}

bool ConfigService::waitForNextRead(Milliseconds interval)
{
    std::unique_lock lock(m_mutex);
    const auto spacing = std::min<Milliseconds>(interval, minTriggeredReadSpacing);
    m_wake.wait_for(lock, spacing, [this] { return m_isStopping; });
    // A failing store is asked again after the backoff only.
    const bool canBeTriggered = m_failures == 0;
    m_wake.wait_for(lock, interval - spacing, [&] { return m_isStopping || (canBeTriggered && m_isReadWanted); });
    return !m_isStopping;
}

bool ConfigService::confirmOnce()
{
    bool isWatchLost = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_isReadWanted = false;
        isWatchLost = m_isWatchLost;
    }
    if (!isWatchLost)
        return read(false).has_value();
    closeWatch();
    if (!read(true))
        return false;
    openWatch();
    return true;
}

void ConfigService::openWatch()
{
    Revision from;
    {
        const std::scoped_lock lock(m_mutex);
        m_isWatchLost = false;
        from = m_table.confirmedRevision.next();
    }
    const auto onLost = [this] {
        m_metrics.watchLosses.Increment();
        {
            const std::scoped_lock lock(m_mutex);
            m_isWatchLost = true;
            m_isReadWanted = true;
        }
        m_wake.notify_all();
    };
    m_watch = m_store.watch(
        resources::storeKeyPrefix, from, [this](const auto& events) { onEvents(events); }, onLost);
}

void ConfigService::closeWatch() { m_watch.reset(); }

Expected<void, store::StoreError> ConfigService::refresh() { return read(false); }

Expected<void, store::StoreError> ConfigService::read(bool isComplete)
{
    const auto sentAt = m_clock.now();
    Revision known;
    Revision newerThan;
    {
        const std::scoped_lock lock(m_mutex);
        known = knownRevisionLocked();
        newerThan = isComplete ? Revision() : m_table.confirmedRevision;
    }
    auto listing = m_store.list(resources::storeKeyPrefix, newerThan);
    if (!listing) {
        m_metrics.failedReads.Increment();
        return makeUnexpected(listing.error());
    }
    if (listing->storeRevision < known && schema::isGuardOn(m_settings, schema::Guard::RevisionOrder)) {
        // A configuration that was accepted must never revert, so an older state of the store confirms nothing.
        m_metrics.revisionRegressions.Increment();
        logEvent(LogLevel::Error, "store_revision_regressed", { { "known", known }, { "read", listing->storeRevision } });
        return makeUnexpected(store::StoreError { store::StoreErrorCode::Protocol, "store revision went back", {} });
    }
    resources::ResourceListing decoded { {}, listing->storeRevision, newerThan == Revision() };
    for (const auto& entry : listing->entries) {
        if (auto change = decode(entry.key, entry.value, entry.modRevision))
            decoded.changes.push_back(std::move(*change));
    }
    const std::scoped_lock lock(m_mutex);
    const auto changes = applyListing(m_table, std::move(decoded), m_clock.now());
    if (m_isListed)
        adoptLocked(changes);
    else
        resetHistory(m_history, listing->storeRevision);
    m_isListed = true;
    if (!changes.empty())
        publishLocked();
    m_confirmedAt = std::max(m_confirmedAt, std::optional(sentAt));
    m_metrics.reads.Increment();
    return {};
}

std::optional<resources::Change> ConfigService::decode(const std::string& key, const std::optional<std::string>& value, Revision revision)
{
    auto resourceKey = resources::parseStoreKey(key);
    if (!resourceKey)
        return std::nullopt;
    if (!value)
        return resources::Change { revision, std::move(*resourceKey), nullptr };
    auto resource = schema::parseResource(*value, key);
    if (!resource || resource->kind != resourceKey->kind || resource->name != resourceKey->name) {
        // The last readable state of the resource stays in force.
        m_metrics.unreadableResources.Increment();
        logEvent(LogLevel::Error, "resource_unreadable", { { "key", key }, { "revision", revision } });
        return std::nullopt;
    }
    return resources::Change { revision, std::move(*resourceKey), std::make_shared<const schema::ResourceT>(std::move(*resource)) };
}

void ConfigService::onEvents(const std::vector<store::WatchEvent>& events)
{
    std::vector<resources::Change> decoded;
    for (const auto& event : events) {
        if (auto change = decode(event.key, event.value, event.revision))
            decoded.push_back(std::move(*change));
    }
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    std::vector<resources::Change> applied;
    std::ranges::copy_if(decoded, std::back_inserter(applied), [&](const auto& change) { return applyChange(m_table, change, now); });
    adoptLocked(applied);
    if (!applied.empty())
        publishLocked();
}

void ConfigService::adoptLocked(const std::vector<resources::Change>& changes)
{
    std::ranges::for_each(changes, [this](const auto& change) { appendChange(m_history, change); });
    for (const auto& change : changes)
        logEvent(LogLevel::Info, "config_changed", { { "object", toString(change.key) }, { "revision", change.revision } });
    if (!changes.empty())
        m_changed.notify_all();
}

void ConfigService::publishLocked()
{
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->revision = m_table.newestRevision;
    for (const auto& [key, entry] : m_table.entries) {
        if (!entry.resource->deleted)
            addToSnapshot(*snapshot, key, *entry.resource);
    }
    const auto isOut = [](const auto& domain) { return domain.second.state == schema::DomainState::OutOfService; };
    m_metrics.outOfServiceDomains.Set(static_cast<double>(std::ranges::count_if(snapshot->domains, isOut)));
    m_snapshot = std::move(snapshot);
}

void ConfigService::removeExpiredTombstones()
{
    std::vector<std::pair<resources::ResourceKey, Revision>> expired;
    {
        const std::scoped_lock lock(m_mutex);
        expired = expiredTombstones(m_table, m_clock.now(), tombstoneAge);
    }
    if (expired.empty())
        return;
    // One for each read keeps the store's rate low; a conflict means that another daemon was faster.
    const auto& [key, revision] = expired.front();
    const auto result = m_store.compareAndDelete(makeStoreKey(key), revision);
    const bool isGone = result || (result.error().code == store::StoreErrorCode::Conflict && !result.error().current);
    if (!isGone)
        return;
    const std::scoped_lock lock(m_mutex);
    const auto it = m_table.entries.find(key);
    if (it != m_table.entries.end() && it->second.revision == revision)
        m_table.entries.erase(it);
}

std::optional<DeclaredResource> ConfigService::find(const resources::ResourceKey& key) const
{
    const std::scoped_lock lock(m_mutex);
    const auto* stored = findResource(m_table, key);
    if (!stored)
        return std::nullopt;
    return DeclaredResource { stored->resource, stored->revision };
}

ResourceList ConfigService::list(std::optional<schema::ResourceKind> kind) const
{
    const std::scoped_lock lock(m_mutex);
    ResourceList result;
    result.revision = knownRevisionLocked();
    for (const auto& [key, entry] : m_table.entries) {
        if (!entry.resource->deleted && (!kind || *kind == key.kind))
            result.resources.push_back({ entry.resource, entry.revision });
    }
    return result;
}

std::vector<resources::Problem> ConfigService::checkJob(const schema::JobSpecT& spec) const
{
    const std::scoped_lock lock(m_mutex);
    return resources::checkJobSpec(spec, getDeclaredTeams(m_table));
}

Expected<std::vector<resources::Change>, resources::RevisionTooOld> ConfigService::waitForChanges(
    Revision after, Milliseconds timeout) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] {
        const auto changes = getChangesAfter(m_history, after);
        return m_isStopping || !changes || !changes->empty();
    });
    return getChangesAfter(m_history, after);
}

} // namespace kingcuploom
