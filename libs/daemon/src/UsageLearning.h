#pragma once

#include "TaskContext.h"

namespace kingcuploom {

// Takes a usage report of one worker into the memory of its shard: the observed sizes of the tasks that the ledger has on the worker.
// Needs the mutex of the shard table.
void takeUsage(const schema::ShardRecordT&, const VmId&, const SyncAnswer&, ShardMemory&, LearnedModels&, MonotonicTime now);

// Drops what was observed of tasks that hold no capacity any more; tasks too short for a full observation are learned from here.
void dropUsageOfEnded(const schema::ShardRecordT&, ShardMemory&, LearnedModels&);

} // namespace kingcuploom
