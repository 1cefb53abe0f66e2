#pragma once

#include "base/Ids.h"
#include "daemon/ConfigView.h"
#include "daemon/OwnershipView.h"
#include "schema/generated/link_generated.h"
#include "schema/generated/records_generated.h"
#include "store/Store.h"

#include <string>
#include <vector>

namespace kingcuploom::capacity {

// Names of the length that deployments use, and records filled with them. The same arguments give the same record.

constexpr int tasksPerJob = 50;

ShardId shardName(int shard);
VmId vmName(int shard, int vm);
JobName jobName(int job);
TeamName teamName(int team);

schema::JobSpecT makeJobSpec(int job, std::uint32_t tasks);

// All tasks are assigned, spread over the shards.
schema::JobRecordT makeAssignedJob(int job, std::uint32_t tasks, int shards);

// Running entries of the tasks that makeAssignedJob() gives to this shard, up to the given number.
// Stores the record as the base of its shard, which must not exist yet.
void putShardRecord(store::Store&, const schema::ShardRecordT&);

schema::ShardRecordT makeShardRecord(int shard, int shards, int entries, int workers);

schema::LoadFigureT makeLoadFigure(int shard, int service);
schema::CapacityFigureT makeCapacityFigure(int shard, std::int64_t freeCpuMillis);

// One daemon "d0" that owns nothing, among the given number of members.
class FixedOwnership final : public OwnershipView {
public:
    explicit FixedOwnership(int members);

    std::vector<OwnedShard> ownedShards() const override { return {}; }
    std::optional<OwnedShard> owned(const ShardId&) const override { return std::nullopt; }
    std::optional<DaemonId> ownerOf(const ShardId&) const override { return std::nullopt; }
    std::vector<MemberView> members() const override { return m_members; }
    bool isLeaving() const override { return false; }

private:
    std::vector<MemberView> m_members;
};

class FixedConfig final : public ConfigView {
public:
    std::shared_ptr<const ConfigSnapshot> snapshot() const override { return m_snapshot; }
    std::optional<MonotonicTime> confirmedAt() const override { return std::nullopt; }

private:
    std::shared_ptr<const ConfigSnapshot> m_snapshot = std::make_shared<ConfigSnapshot>();
};

} // namespace kingcuploom::capacity
