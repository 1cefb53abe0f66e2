#pragma once

#include "Standin.h"
#include "base/Clock.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <string>

namespace kingcuploom::testing {

// Serves the platform's VM list, GET /v1/vms, and injects the faults that tests need:
//   PUT /admin/vms     replaces the list (same JSON as GET /v1/vms)
//   PUT /admin/faults  {"lag_ms": N, "down": bool}, absent fields keep their value
//   GET /admin/record  {"reads": N}
// With a lag, GET returns the list as it was that long ago. The list is empty before the first PUT.
class VmListStandin {
public:
    VmListStandin();
    ~VmListStandin() { m_server.stop(); }
    VmListStandin(const VmListStandin&) = delete;
    VmListStandin& operator=(const VmListStandin&) = delete;

    http::HttpServer& server() { return m_server; }

    void setList(const std::string& json);
    void setLag(Milliseconds lag) { m_lagMs = lag.count(); }
    void setDown(bool isDown) { m_isDown = isDown; }

private:
    struct Version {
        MonotonicTime since;
        std::string json;
    };

    http::Response read();
    http::Response putList(const http::Request&);
    http::Response setFaults(const http::Request&);
    std::string getListAt(MonotonicTime) const;

    mutable std::mutex m_mutex;
    std::deque<Version> m_versions;
    std::atomic<std::int64_t> m_lagMs = 0;
    std::atomic<bool> m_isDown = false;
    std::atomic<std::int64_t> m_reads = 0;
    http::HttpServer m_server;
};

} // namespace kingcuploom::testing
