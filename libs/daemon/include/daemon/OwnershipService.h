#pragma once

#include "daemon/AuditSink.h"
#include "daemon/OwnershipView.h"
#include "daemon/ShardRecords.h"
#include "daemon/TargetCatalog.h"
#include "link/LinkHub.h"
#include "ownership/Events.h"
#include "schema/generated/settings_generated.h"

#include <prometheus/registry.h>
#include <set>

namespace kingcuploom {

// Membership, lease and owned shards of this daemon, around the decisions of the ownership package. Construct it before the hub is
// started, stop it before the hub is stopped, and destroy it after that, because the hub calls it. Thread-safe.
class OwnershipService final : public OwnershipView {
public:
    OwnershipService(const schema::SettingsT&, const Clock&, store::Store&, link::LinkHub&, ShardRecords&, TargetCatalog&, AuditSink&,
        prometheus::Registry&);
    ~OwnershipService() override;
    OwnershipService(const OwnershipService&) = delete;
    OwnershipService& operator=(const OwnershipService&) = delete;

    // Parts that report when a draining or lost shard has nothing in progress; both by default. Before start(). Without any part, a shard
    // is handed over at once: only for a daemon that starts nothing.
    void setReportingParts(std::set<ownership::WorkPart>);

    // After the hub has been started.
    void start(const Address& linkAddress, const Address& httpAddress);

    // Starts the graceful shutdown: hands over all shards. waitUntilLeft() returns whether that is complete.
    void beginLeaving();
    bool waitUntilLeft(Milliseconds limit);

    // Gives the lease back when the daemon has left. Otherwise its shards are taken over as after a crash.
    void stop();

    // Reports that the part has nothing in progress and starts nothing any more for a shard that is draining (OwnedShard::isDraining)
    // or no longer owned, for the epoch that it was owned with. Repeated reports are harmless. Without a report, the shard waits for
    // the longest deadline.
    void reportFinished(const ShardId&, Epoch, ownership::WorkPart);

    std::vector<OwnedShard> ownedShards() const override;
    std::optional<OwnedShard> owned(const ShardId&) const override;
    std::optional<DaemonId> ownerOf(const ShardId&) const override;
    std::vector<MemberView> members() const override;
    bool isLeaving() const override;

    // True once the member record is written and members and shards have been read.
    bool hasJoined() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom
