#pragma once

#include "ledger/JobRecords.h"

namespace kingcuploom::ledger {

// Free capacity of one shard, as its owner last reported it, less what was assigned since.
struct ShardCapacity {
    ShardId shard;
    ResourceAmounts free;
    // Free amounts of the worker with the most free processors.
    ResourceAmounts largest;
};

// Earliest time of the next attempt of tasks that wait. Memory of the coordinator; a new coordinator waits anew.
using RetryTimes = std::map<AttemptKey, MonotonicTime>;

// Wait before the attempt that follows the given one.
Milliseconds retryDelay(const schema::JobTaskT&);

struct AssignmentContext {
    MonotonicTime now;
    // Reduced by what is assigned.
    std::vector<ShardCapacity>& capacities;
    RetryTimes& retryTimes;
    // Largest VM of the fleet kind by kind does not suffice: true when some VM could hold the demand while empty.
    std::function<bool(const ResourceAmounts&)> fitsFleet;
    // Counts the demand against the quota of the job's team; false, and nothing counted, when it would exceed it. Empty: no quotas.
    std::function<bool(const ResourceAmounts&)> takeQuota;
    // True when a VM of the shard could hold the demand after preemption. A standing task without free capacity anywhere goes to such a
    // shard. Empty: standing tasks wait like the others.
    std::function<bool(const ShardId&, const ResourceAmounts&)> fitsAfterPreemption;
    // True when the task has failed on every worker of the shard. Such a shard is the last choice. Empty: no shard is.
    std::function<bool(const ShardId&, const schema::JobTaskT&)> hasFailedThroughout {};
};

struct AssignmentResult {
    unsigned assigned = 0;
    unsigned impossible = 0;
    unsigned waiting = 0;

    bool hasChanges() const { return assigned + impossible > 0; }
};

// Gives pending and evicted tasks a shard and the next attempt number. Tasks of one job are spread over shards.
AssignmentResult assignTasks(schema::JobRecordT&, const AssignmentContext&);

} // namespace kingcuploom::ledger
