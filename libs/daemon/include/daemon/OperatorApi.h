#pragma once

#include "daemon/AuditLog.h"
#include "daemon/ConfigService.h"
#include "daemon/JobApi.h"
#include "daemon/OwnershipView.h"
#include "daemon/TraceRecorder.h"
#include "http/HttpServer.h"

#include <atomic>
#include <functional>

namespace kingcuploom {

// HTTP routes of operators and monitoring (docs/OPERATIONS.md lists them). Owns no state of the system. Thread-safe.
class OperatorApi {
public:
    // Used by reference for the lifetime of the OperatorApi.
    struct Parts {
        const schema::SettingsT& settings;
        const Clock& clock;
        ConfigService& config;
        AuditLog& audit;
        JobApi& jobs;
        const OwnershipView& ownership;
        prometheus::Registry& registry;
        TraceRecorder& trace;
        // Joined and not leaving.
        std::function<bool()> isReady;
        // Called before metrics are served, to set gauges that depend on the time; may be empty.
        std::function<void()> updateMetrics;
    };

    static constexpr char keyHeader[] = "X-Kingcuploom-Key";
    static constexpr char actorHeader[] = "X-Kingcuploom-Actor";
    // Each open watch holds a thread of the server.
    static constexpr int maxWatches = 64;

    explicit OperatorApi(Parts);
    ~OperatorApi();
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    // Before the server starts.
    void registerRoutes(http::HttpServer&);

    // Ends the open watches. Call before the server and the ConfigService stop.
    void stop();

    // Answers one request; all routes except the watch.
    http::Response handle(const http::Request&);
    http::StreamResponse handleWatch(const http::Request&);

private:
    struct Counters;
    struct WatchState;

    http::Response answer(const http::Request&, const std::string& path);
    http::Response answerRecorded(const http::Request&, const std::string& path);
    http::Response answerKeyed(const http::Request&, const std::string& path);
    http::Response answerReady() const;
    http::Response answerMetrics();
    http::Response answerStatus() const;
    http::Response answerAudit(const http::Request&) const;
    http::Response answerExplain(const std::string& rest) const;
    http::Response answerResources(const http::Request&, const std::string& rest);
    http::Response answerResource(const http::Request&, const resources::ResourceKey&);
    http::Response putResource(const http::Request&, const resources::ResourceKey&);
    http::Response deleteResource(const http::Request&, const resources::ResourceKey&);
    http::Response answerJobs(const http::Request&, const std::string& name);
    http::Response submitJob(const http::Request&);
    bool hasKey(const http::Request&) const;
    std::string nextWatchPiece(WatchState&) const;

    Parts m_parts;
    std::unique_ptr<Counters> m_counters;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_openWatches = 0;
};

} // namespace kingcuploom
