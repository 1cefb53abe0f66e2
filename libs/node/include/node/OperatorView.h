#pragma once

#include "node/Formats.h"
#include "node/PrefixWatcher.h"

#include <mutex>
#include <set>

namespace kingcuploom::node {

// The configuration and the closed failure domains as one thread-safe, immutable snapshot.
struct OperatorState {
    // Absent before the first configuration was read.
    std::optional<Configuration> configuration;
    std::set<FailureDomain> closedDomains;
    // When the store was last asked, and answered that this is current.
    MonotonicTime confirmedAt;
};

// The queue of a request: the route of the host with the longest prefix that the path begins with; null for none.
const QueueRoute* findRoute(const Configuration&, const std::string& host, const std::string& path);

// Name of a queue: host and prefix.
scheduler::QueueName makeQueueName(const QueueRoute&);

// Follows what the operators write. A configuration never goes back to an older version.
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
    void publish();

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
