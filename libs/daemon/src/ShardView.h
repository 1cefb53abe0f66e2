#pragma once

#include "LearnedModels.h"
#include "ShardMemory.h"
#include "daemon/ConfigView.h"
#include "daemon/TargetCatalog.h"
#include "placement/FairShare.h"
#include "schema/generated/settings_generated.h"

namespace kingcuploom {

// What the views of one shard are built from. The memory and the models are guarded by the mutex of the shard table.
struct ShardViewSource {
    const ShardId& shard;
    const schema::ShardRecordT& record;
    const ShardMemory& memory;
    const LearnedModels& learned;
    const ConfigSnapshot& config;
    const TargetSnapshot& targets;
    const schema::SettingsT& settings;
    MonotonicTime now;
};

// Workers of the shard with the tasks that hold capacity there. Refers to the models of the source.
placement::PlacementView makeView(const ShardViewSource&);

// A task to place, with the amounts to reserve for it.
placement::PlacementTask taskOf(const ShardViewSource&, const schema::LedgerEntryT&);

// What a placed task counts for: the larger of declared and observed use, before its first usage report the corrected size.
ResourceAmounts useOf(const ShardViewSource&, const schema::LedgerEntryT&);

// Running batch tasks with the work that a stop would lose; of one worker when it is given.
std::vector<placement::RunningTask> runningBatch(const ShardViewSource&, const std::optional<VmId>& = std::nullopt);

} // namespace kingcuploom
