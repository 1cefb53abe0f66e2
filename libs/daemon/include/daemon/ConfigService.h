#pragma once

#include "base/Random.h"
#include "daemon/AuditSink.h"
#include "daemon/ConfigView.h"
#include "resources/ChangeHistory.h"
#include "resources/Checks.h"
#include "schema/generated/settings_generated.h"
#include "store/Store.h"

#include <condition_variable>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <thread>

namespace kingcuploom {

enum class ConfigErrorCode {
    // The resource was refused by the checks; "problems" lists every reason.
    Invalid,
    NotFound,
    // The resource has another revision than expected; "current" and "submitted" are the two sides.
    Conflict,
    // Nothing was stored.
    StoreUnavailable,
    // The change may have been stored and then replaced, or may still appear.
    OutcomeUnknown,
};

// "invalid", "conflict" and so on; the form used in JSON answers and logs.
const char* toString(ConfigErrorCode);

struct ConfigError {
    ConfigErrorCode code = ConfigErrorCode::Invalid;
    std::vector<resources::Problem> problems;
    // The resource in force, null when it does not exist.
    resources::ResourcePointer current;
    Revision currentRevision;
    resources::ResourcePointer submitted;
};

// A resource in force and its revision.
struct DeclaredResource {
    resources::ResourcePointer resource;
    Revision revision;
};

struct ApplyOutcome {
    DeclaredResource declared;
    // False when the resource already was as submitted, or for a trial.
    bool isChanged = false;
};

struct ResourceList {
    std::vector<DeclaredResource> resources;
    // Watches continue after this revision.
    Revision revision;
};

enum class ApplyMode {
    Store,
    // Makes every check and stores nothing.
    Trial,
};

// Resources by revision: the only writer and reader of "/kingcuploom/config/". Thread-safe; holds no lock during store calls.
class ConfigService final : public ConfigView {
public:
    ConfigService(const schema::SettingsT&, const Clock&, store::Store&, AuditSink&, prometheus::Registry&);
    ~ConfigService() override;
    ConfigService(const ConfigService&) = delete;
    ConfigService& operator=(const ConfigService&) = delete;

    // Starts the thread that lists, watches and confirms. stop() ends it and the watch.
    void start();
    void stop();

    std::shared_ptr<const ConfigSnapshot> snapshot() const override;
    std::optional<MonotonicTime> confirmedAt() const override;

    // Revision that a peer reports; a newer one than known here triggers a read at once.
    void noteRevision(Revision);

    // Newest revision known here, to be reported to peers.
    Revision knownRevision() const;

    // One confirming read, by the calling thread.
    Expected<void, store::StoreError> refresh();

    // Checks and stores a resource. "expected" is the revision it replaces, 0 for a new one.
    Expected<ApplyOutcome, ConfigError> apply(
        schema::ResourceT, Revision expected, const std::string& actor, ApplyMode mode = ApplyMode::Store);

    // Replaces the resource by a tombstone.
    Expected<ApplyOutcome, ConfigError> remove(
        const resources::ResourceKey&, Revision expected, const std::string& actor, ApplyMode mode = ApplyMode::Store);

    std::optional<DeclaredResource> find(const resources::ResourceKey&) const;
    // All kinds without a filter.
    ResourceList list(std::optional<schema::ResourceKind> kind = std::nullopt) const;
    std::vector<resources::Problem> checkJob(const schema::JobSpecT&) const;

    // Waits for changes after the revision; an empty list when none came within the time.
    Expected<std::vector<resources::Change>, resources::RevisionTooOld> waitForChanges(Revision after, Milliseconds timeout) const;

    // Sets the gauges whose values depend on the time. Called before metrics are served.
    void updateMetrics();

private:
    struct Metrics {
        explicit Metrics(prometheus::Registry&);
        prometheus::Counter& reads;
        prometheus::Counter& failedReads;
        prometheus::Counter& watchLosses;
        prometheus::Counter& triggeredReads;
        prometheus::Counter& revisionRegressions;
        prometheus::Counter& unreadableResources;
        prometheus::Counter& changes;
        prometheus::Counter& refusedChanges;
        prometheus::Counter& unknownOutcomes;
        prometheus::Gauge& revision;
        prometheus::Gauge& confirmationAge;
        prometheus::Gauge& outOfServiceDomains;
    };

    void run();
    bool confirmOnce();
    Expected<void, store::StoreError> read(bool isComplete);
    void openWatch();
    void closeWatch();
    void onEvents(const std::vector<store::WatchEvent>&);
    bool waitForNextRead(Milliseconds interval);
    Milliseconds nextInterval(MonotonicTime sentAt);
    void logTransition(bool isConfirmed);
    void removeExpiredTombstones();
    std::optional<resources::Change> decode(const std::string& key, const std::optional<std::string>& value, Revision);
    void adoptLocked(const std::vector<resources::Change>&);
    void publishLocked();
    Revision knownRevisionLocked() const;

    enum class Intent {
        Apply,
        Remove,
    };

    Expected<ApplyOutcome, ConfigError> change(
        Intent, const std::shared_ptr<schema::ResourceT>&, Revision expected, const std::string& actor, ApplyMode mode);
    std::vector<resources::Problem> problemsOf(Intent, const schema::ResourceT&) const;
    Expected<Revision, ConfigError> write(const resources::ResourceKey&, const resources::ResourcePointer&, Revision expected);
    ConfigError errorWith(ConfigErrorCode, const resources::ResourceKey&, const resources::ResourcePointer& submitted) const;
    tl::unexpected<ConfigError> refuse(ConfigError, const resources::ResourceKey&, const std::string& actor);
    void auditChange(const resources::ResourceKey&, Revision before, const DeclaredResource& after);

    const schema::SettingsT& m_settings;
    const Clock& m_clock;
    store::Store& m_store;
    AuditSink& m_audit;
    Metrics m_metrics;

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::condition_variable m_wake;
    resources::ResourceTable m_table;
    resources::ChangeHistory m_history;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
    std::optional<MonotonicTime> m_confirmedAt;
    Random m_random;
    bool m_isListed = false;
    bool m_isWatchLost = true;
    bool m_isReadWanted = false;
    bool m_isStopping = false;

    // Used by the thread of run() only.
    std::unique_ptr<store::Watch> m_watch;
    unsigned m_failures = 0;
    std::thread m_thread;
};

} // namespace kingcuploom
