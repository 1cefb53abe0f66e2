#pragma once

#include "daemon/AuditSink.h"
#include "daemon/ConfigView.h"
#include "daemon/LoadExchange.h"
#include "daemon/OwnershipView.h"
#include "daemon/TargetCatalog.h"
#include "http/HttpClient.h"
#include "link/LinkHub.h"
#include "schema/generated/settings_generated.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace kingcuploom {

// Latency-critical requests (docs/design.md, section 5): takes calls, finds the shard, forwards to its owner, and runs the requests of
// the shards that this daemon owns. Thread-safe.
class RequestService {
public:
    // Registers the handlers of Forward, Answer, Abandon and Heartbeat with the hub.
    RequestService(const schema::SettingsT&, const Clock&, OwnershipView&, ConfigView&, TargetCatalog&, link::LinkHub&, http::HttpClient&,
        AuditSink&, prometheus::Registry&);
    ~RequestService();
    RequestService(const RequestService&) = delete;
    RequestService& operator=(const RequestService&) = delete;

    // Exchange of load and capacity figures; its other sources are set before start().
    LoadExchange& loadExchange();

    // Called on the maintenance thread, repeatedly, for each shard that is draining or lost and has no execution in progress, with
    // the epoch that it was owned with. Before start().
    void onShardIdle(std::function<void(const ShardId&, Epoch)>);

    void start();

    // Ends the threads after the executions in progress.
    void stop();

    // Handles "/v1/call/<service>/<path>". Blocks until the final answer, at most little longer than the deadline.
    http::Response handleCall(const http::Request&);

    // Refuses new requests and waits for those in progress. False when some are left after the limit.
    bool drain(Milliseconds limit);

    // Requests that wait, run or are forwarded by this daemon.
    std::size_t inProgress() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom
