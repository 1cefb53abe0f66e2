#pragma once

#include "base/Random.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace kingcuploom::standins {

// Faults to inject, each into a share of the requests in per mille, and a delay in milliseconds that is added to every request.
struct Behaviour {
    std::uint32_t failPerMille = 0;
    std::uint32_t extraMs = 0;
    std::uint32_t truncatePerMille = 0;
    std::uint32_t closePerMille = 0;
};

enum class Fault {
    None,
    // Responds with status 500 after the work.
    Fail,
    // Closes the connection after half of the response body.
    Truncate,
    // Closes the connection before the response body.
    Close,
};

struct Counters {
    int active = 0;
    int peak = 0;
    std::uint64_t total = 0;
};

// Counts requests and executions. Accepts requests beyond the number of slots, so that overload shows in the peak. Thread-safe.
class ExecutorState {
public:
    // Counts the request as active and returns the fault to inject into it.
    Fault begin(const std::string& requestId);
    void end();

    Counters counters() const;

    // Number of executions by X-Request-Id.
    std::map<std::string, int> record() const;

    Behaviour behaviour() const;
    void setBehaviour(const Behaviour&);

private:
    mutable std::mutex m_mutex;
    Counters m_counters;
    Behaviour m_behaviour;
    std::map<std::string, int> m_executions;
    Random m_random { 1 };
};

} // namespace kingcuploom::standins
