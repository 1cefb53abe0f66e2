#pragma once

#include "http/HttpClient.h"
#include "store/CallCounter.h"
#include "store/Store.h"

#include <atomic>

namespace kingcuploom::store {

struct EtcdSettings {
    // "http://host:port", tried in order until one accepts the connection.
    std::vector<std::string> baseUrls;
    // For a whole call, all attempts included.
    Milliseconds timeout { 1000 };
};

// The etcd v3 JSON interface. Errors: a write that may have been received and got no clear answer, also one answered with a server
// error, is OutcomeUnknown; a read that fails is always Unavailable, as it changes nothing. Lease times are rounded up to seconds.
class EtcdStore final : public Store {
public:
    explicit EtcdStore(EtcdSettings);

    Expected<std::optional<KeyValue>, StoreError> get(const std::string& key) override;
    Expected<Listing, StoreError> list(const std::string& prefix, Revision newerThan = Revision()) override;
    Expected<Revision, StoreError> compareAndSwap(
        const std::string& key, Revision expected, const std::string& value, LeaseId lease = LeaseId()) override;
    Expected<void, StoreError> compareAndDelete(const std::string& key, Revision expected) override;
    Expected<LeaseId, StoreError> grantLease(Milliseconds timeToLive) override;
    Expected<void, StoreError> keepAlive(LeaseId) override;
    Expected<void, StoreError> revokeLease(LeaseId) override;

    // The watch may be destroyed from its own callbacks; then it does not wait for them.
    std::unique_ptr<Watch> watch(const std::string& prefix, Revision from, std::function<void(const std::vector<WatchEvent>&)> onEvents,
        std::function<void()> onLost) override;

    const CallCounter& calls() const { return *m_calls; }

private:
    struct Call;

    Expected<std::string, StoreError> post(const Call&);
    Expected<http::Response, http::ClientError> attempt(const Call&, std::size_t urlsLeft, MonotonicTime deadline);
    Expected<Revision, StoreError> commit(const std::string& key, const std::string& body);
    const std::string& currentUrl() const;

    EtcdSettings m_settings;
    // Shared with the watches, whose threads may outlive the store by a moment.
    std::shared_ptr<http::HttpClient> m_client;
    std::shared_ptr<CallCounter> m_calls;
    // Index of the URL that the next attempt uses; moves on after a failure.
    std::atomic<std::size_t> m_urlIndex = 0;
};

} // namespace kingcuploom::store
