#pragma once

#include "EasyHandle.h"
#include "base/Clock.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace kingcuploom::http {

// Idle handles by base URL; each keeps at most one open connection. Handles in use and idle ones together stay within the limit of the
// base URL, as long as no more than the limit are in use. Thread-safe.
class HandlePool {
public:
    // "maxConnections" is the new limit; 0 keeps the one before. Without "mayReuse" the handle has no connection yet. Each handle has to
    // be given back.
    EasyHandle take(const std::string& baseUrl, bool mayReuse, std::size_t maxConnections);
    // An empty handle stands for one that has been destroyed with its connection.
    void giveBack(const std::string& baseUrl, EasyHandle);
    // Closes idle connections over the new limit, which holds until another is set.
    void limit(const std::string& baseUrl, std::size_t maxConnections);

private:
    struct Idle {
        EasyHandle handle;
        MonotonicTime since;
    };
    struct Host {
        // The oldest first.
        std::deque<Idle> idle;
        std::size_t inUse = 0;
        std::size_t maxConnections = 0;
    };

    Host& hostOf(const std::string& baseUrl);
    void dropOld(MonotonicTime now);
    static void dropSurplus(Host&);

    std::mutex m_mutex;
    std::map<std::string, Host> m_hosts;
    MonotonicTime m_lastSweep {};
};

} // namespace kingcuploom::http
