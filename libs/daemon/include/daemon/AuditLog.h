#pragma once

#include "base/Clock.h"
#include "daemon/AuditSink.h"
#include "schema/generated/settings_generated.h"
#include "store/Store.h"

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/registry.h>
#include <thread>
#include <vector>

namespace kingcuploom {

class AuditRing;

// Selects events; unset members match all.
struct AuditFilter {
    // Exact object, or all objects below it when it ends in '/'.
    std::string object;
    std::int64_t sinceMs = 0;
    std::optional<std::int64_t> untilMs;
    // The newest events are kept.
    std::size_t limit = 200;
};

// Audit events of this daemon: logged at once and written to two rings of batches in the store, at most one batch a second. Events of
// tasks have a ring of their own, so that thousands of starts a second push out no change that an operator or an owner made. The number
// of batches of a ring and the number of rings are constant, so the store never fills. Thread-safe.
class AuditLog final : public AuditSink {
public:
    // Rings of daemons that were replaced; the one written longest ago is removed first.
    static constexpr std::size_t maxRings = 64;

    AuditLog(const schema::SettingsT&, const Clock&, store::Store&, prometheus::Registry&);
    ~AuditLog() override;
    AuditLog(const AuditLog&) = delete;
    AuditLog& operator=(const AuditLog&) = delete;

    // Starts the writer. stop() writes what is pending, as far as the store is available.
    void start();
    void stop();

    void record(schema::AuditEventT) override;

    // Writes one batch now, by the calling thread; the writer thread does it once a second. True when a batch was stored.
    bool flush();

    // Events of all daemons, pending ones of this daemon included, in the order of time. Reads the store.
    Expected<std::vector<schema::AuditEventT>, store::StoreError> query(const AuditFilter&) const;

    // "/kingcuploom/audit/".
    static const char* const storePrefix;

private:
    struct Metrics {
        explicit Metrics(prometheus::Registry&);
        prometheus::Counter& events;
        prometheus::Counter& dropped;
        prometheus::Counter& batches;
        prometheus::Counter& failedWrites;
    };

    void run();
    void writeAll();
    bool beginFlush();
    void endFlush();
    bool flushRings();
    void pruneRings();
    void removeExcessRings(const store::Listing&);
    void reportDropped();
    bool hasPending() const;
    AuditRing& ringFor(const schema::AuditEventT&) const;

    const std::string m_daemon;
    const Clock& m_clock;
    store::Store& m_store;
    Metrics m_metrics;

    // Changes, then tasks.
    const std::array<std::unique_ptr<AuditRing>, 2> m_rings;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    // Events that were not stored because too many were pending; reported by an event of their own.
    std::uint64_t m_droppedCount = 0;
    bool m_isStopping = false;

    // True while one thread is in flush(); only that thread uses the members below.
    bool m_isFlushing = false;
    bool m_wasPruned = false;
    // Ring that is written first the next time, so that neither waits for the other for long.
    std::size_t m_nextRing = 0;
    std::thread m_thread;
};

} // namespace kingcuploom
