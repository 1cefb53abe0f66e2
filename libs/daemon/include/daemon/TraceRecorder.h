#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <deque>
#include <mutex>
#include <string>

namespace kingcuploom {

// Trace of what callers and operators asked of this daemon, for replay by the scenario runner (format: tests/scenarios/lib/replay.lua).
// Holds the newest events as JSON lines, at most "limit"; bodies of calls and keys are not recorded. Thread-safe.
class TraceRecorder {
public:
    // A limit of 0 records nothing.
    TraceRecorder(const Clock&, std::size_t limit);

    // A call and its answer. The time from arrival to answer is recorded as "work_ms", an upper bound of the execution time.
    void recordCall(const http::Request&, const http::Response&, MonotonicTime arrivedAt);

    // A change by an operator that was accepted: job submitted or cancelled, failure domain taken out or back. Others are ignored.
    void recordChange(const http::Request&);

    // All events, oldest first, one per line; "at_ms" is the time since 1970, so that traces of several daemons can be merged.
    std::string lines() const;

    std::size_t limit() const { return m_limit; }

private:
    void add(std::string line);
    std::int64_t millisecondsBefore(Milliseconds) const;

    const Clock& m_clock;
    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_lines;
};

} // namespace kingcuploom
