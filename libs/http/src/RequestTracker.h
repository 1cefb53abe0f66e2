#pragma once

#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <set>

namespace kingcuploom::http {

// Requests in progress, from the request line to the last byte of the answer, by ulfius' record of the request. Thread-safe.
class RequestTracker {
public:
    void add(const void* request, int descriptor);
    // Socket of the request's connection; -1 when it is not known.
    int descriptorOf(const void* request) const;
    // False when "limit" other requests are admitted already. A request stays admitted until it is removed.
    bool admit(const void* request, std::size_t limit);
    void remove(const void* request);
    void waitUntilNone();

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    // With the socket of each.
    std::map<const void*, int> m_requests;
    std::set<const void*> m_admitted;
};

} // namespace kingcuploom::http
