#pragma once

#include "node/Formats.h"
#include "node/PrefixWatcher.h"

#include <mutex>
#include <set>

namespace kingcuploom::node {

// Immutable snapshot of the configuration and the closed failure domains.
struct OperatorState {
    // Empty until the first configuration has been read.
    std::optional<Configuration> configuration;
    std::set<FailureDomain> closedDomains;
    // Send time of the latest store call that confirmed this state.
    MonotonicTime confirmedAt;
};

enum class RouteError {
    // The latest configuration of the operators has no such route.
    NoSuchRoute,
    // There is no such route in the configuration that is known, if any, and a later one may be in force.
    NotKnown,
};

// Finds the route for a request: same host, longest matching path prefix. "maxAge" is the time within which an acknowledged configuration
// must be in force.
Expected<const QueueRoute*, RouteError> findRoute(
    const OperatorState&, const std::string& host, const std::string& path, MonotonicTime now, Milliseconds maxAge);

// The queue name is the host followed by the path prefix.
scheduler::QueueName makeQueueName(const QueueRoute&);

// Watches the operators' documents in the store. A configuration is never replaced by an older version.
class OperatorView {
public:
    OperatorView(boost::asio::io_context&, AsyncStore&, const Clock&, const Formats&, std::function<void()> onChange);

    void start();
    void stop();

    // Thread-safe.
    std::shared_ptr<const OperatorState> snapshot() const;

private:
    void onKeyChange(const std::string& key, const std::optional<std::string>& value, Revision);
    void applyDocument(const std::string& key, const OperatorDocument&, Revision);
    void publishSnapshot();

    const Formats& m_formats;
    std::function<void()> m_onChange;
    std::shared_ptr<PrefixWatcher> m_watcher;
    OperatorState m_state;
    std::map<std::string, FailureDomain> m_closures;
    bool m_isChanged = false;

    mutable std::mutex m_mutex;
    std::shared_ptr<const OperatorState> m_snapshot;
};

} // namespace kingcuploom::node
