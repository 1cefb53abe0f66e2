#pragma once

#include "CallRecord.h"
#include "Standin.h"
#include "StoreFaults.h"
#include "StoreState.h"

#include <atomic>

namespace kingcuploom::testing {

// Serves the subset of the etcd v3 JSON interface that kingcuploom uses, and injects the faults that tests need:
//   PUT  /admin/faults        {"down": bool, "slow_ms": N, "lose_answers": N, "stale_reads": "<key prefix>",
//                             "refuse_writes": "<key prefix>"}, absent fields keep their value. Stale reads are served from the state
//                             at the time of this call, and watches opened from then on deliver no events; an empty prefix ends the fault.
//   POST /admin/drop_watches  ends all watches
//   POST /admin/expire_lease  {"lease": "N"} or {"key": "..."} (the lease of that key)
//   GET  /admin/record        {"calls": {<kind>: {"total", "peak_per_second"}}, "open_watches": N, "revision": N}
class StoreStandin {
public:
    StoreStandin();
    ~StoreStandin();
    StoreStandin(const StoreStandin&) = delete;
    StoreStandin& operator=(const StoreStandin&) = delete;

    http::HttpServer& server() { return m_server; }
    StoreFaults& faults() { return m_faults; }
    StoreState& state() { return m_state; }
    int openWatches() const { return m_openWatches; }

    void setDown(bool);
    void dropWatches();

    // Ends watches and delays, so that no handler blocks when the server stops.
    void release();

private:
    struct WatchCursor;
    using JsonHandler = http::Response (StoreStandin::*)(const json_t* body);

    void addRoute(const std::string& path, const std::string& kind, JsonHandler);
    void addAdminRoutes();
    http::StreamResponse handleCall(const http::Request&, const std::string& kind, JsonHandler);

    http::Response range(const json_t* body);
    http::Response transaction(const json_t* body);
    http::Response grantLease(const json_t* body);
    http::Response keepLeaseAlive(const json_t* body);
    http::Response revokeLease(const json_t* body);
    http::StreamResponse watch(const http::Request&);
    std::string nextWatchMessage(WatchCursor&);

    http::Response setFaults(const http::Request&);
    http::Response expireLease(const http::Request&);
    http::Response record() const;

    StoreState m_state;
    StoreFaults m_faults;
    CallRecord m_calls;
    // Incremented to end all open watches.
    std::atomic<int> m_watchGeneration = 0;
    std::atomic<int> m_openWatches = 0;
    http::HttpServer m_server;
};

} // namespace kingcuploom::testing
