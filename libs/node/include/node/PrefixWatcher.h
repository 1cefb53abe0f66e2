#pragma once

#include "node/AsyncStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace kingcuploom::node {

struct WatchCallbacks {
    // A key was written, or removed (no value). Never called with a revision older than one already reported for the key.
    std::function<void(const std::string& key, const std::optional<std::string>& value, Revision)> onChange;
    // All changes up to the time at which the call was sent have been reported.
    std::function<void(MonotonicTime sentAt)> onCurrent;
    // A call to the store failed; it is retried.
    std::function<void(StoreError)> onFailure;
};

enum class AfterFailure {
    // Watch on from the last change that was read, which reads each change since then.
    ContinueWatch,
    // List the keys, which reads only the latest value of each.
    List,
};

// Reports changes of all keys under a prefix: lists the keys, then watches, and lists again when the store has compacted its history.
// Runs on the event loop's thread. Must be owned by a shared pointer.
class PrefixWatcher : public std::enable_shared_from_this<PrefixWatcher> {
public:
    PrefixWatcher(boost::asio::io_context&, AsyncStore&, const Clock&, std::string prefix, Milliseconds watchTimeout, WatchCallbacks,
        AfterFailure = AfterFailure::ContinueWatch);

    void start();
    // Makes no callback after this call.
    void stop();

    // Time of the last successful response to this watcher's calls, or of its start.
    MonotonicTime answeredAt() const { return m_answeredAt; }
    // True until all pages of a listing have been read. Some of the keys are older than others until then.
    bool isListing() const { return m_isListing; }

private:
    void list(const std::string& after);
    void onPage(const StorePage&, MonotonicTime sentAt);
    void watch();
    void onEvents(const StoreEvents&, MonotonicTime sentAt);
    void apply(const std::string& key, const std::optional<std::string>& value, Revision);
    void onFailure(StoreError);
    void scheduleRetry();

    AsyncStore& m_store;
    const Clock& m_clock;
    std::string m_prefix;
    Milliseconds m_watchTimeout;
    WatchCallbacks m_callbacks;
    AfterFailure m_afterFailure;
    boost::asio::steady_timer m_timer;
    std::map<std::string, Revision> m_knownRevisions;
    // Keys seen so far by the current listing.
    std::map<std::string, Revision> m_listedKeys;
    // Revision of the first page. Later pages may miss changes after it, so the watch starts here.
    std::optional<Revision> m_listRevision;
    // Last key of the pages that have been read.
    std::string m_listAfter;
    MonotonicTime m_listSentAt;
    MonotonicTime m_answeredAt;
    Revision m_watchRevision;
    // No watch has been answered since the last failed call.
    bool m_hasFailed = false;
    bool m_isListing = true;
    bool m_isStopped = false;
};

} // namespace kingcuploom::node
