#pragma once

#include "base/Clock.h"
#include "http/Json.h"

#include <map>
#include <mutex>
#include <string>

namespace kingcuploom::testing {

// Counts calls by kind: the total and the maximum within one second. Thread-safe.
class CallRecord {
public:
    void count(const std::string& kind);

    // {"<kind>": {"total": N, "peak_per_second": N}}
    http::Json toJson() const;

private:
    struct Kind {
        std::int64_t total = 0;
        std::int64_t currentSecond = 0;
        std::int64_t countInSecond = 0;
        std::int64_t peakPerSecond = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Kind> m_kinds { { "read", {} }, { "write", {} }, { "lease", {} }, { "watch", {} }, { "refused", {} } };
};

} // namespace kingcuploom::testing
