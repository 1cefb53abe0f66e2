#pragma once

#include "JobBoard.h"
#include "LearnedModels.h"
#include "ShardMemory.h"
#include "StoreBackoff.h"
#include "TaskMetrics.h"

#include <mutex>
#include <string>

namespace kingcuploom {

// What the owner remembers of all its shards. The mutex guards the members and is held across no call.
struct ShardTable {
    std::mutex mutex;
    std::map<ShardId, ShardMemory> shards;
    LearnedModels learned;
    // Last known URLs, for workers that have left the list but may still run tasks.
    std::map<VmId, std::string> urls;
};

// What the parts of the task service work with.
struct TaskContext {
    const schema::SettingsT& settings;
    const Clock& clock;
    OwnershipView& ownership;
    ConfigView& config;
    ShardRecords& records;
    TargetCatalog& targets;
    AuditSink& audit;
    TaskMetrics& metrics;
    StoreBackoff& backoff;
    JobBoard& jobs;
    WorkerPort& workers;
    ShardTable& table;
};

// The cached record is the one of this owner's epoch.
inline bool isCurrent(const schema::ShardRecordT& record, const OwnedShard& owned) { return Epoch(record.epoch) == owned.epoch; }

// The start gate: the portion is whole, nothing is being handed over, the configuration was confirmed recently and the domain is in
// service.
bool mayStart(const TaskContext&, const OwnedShard&);

ledger::LeaseTimes leaseTimes(const schema::SettingsT&);
ledger::JobLookup jobLookup(const JobBoard&);

void auditTask(const TaskContext&, const ledger::AttemptKey&, const char* action, const std::string& reason, const std::string& figures);

void auditWorker(const TaskContext&, const VmId&, const char* action, const char* reason, const std::string& figures);

// Names separated by commas.
std::string joinedWorkers(const std::vector<std::string>&);

void auditJob(const TaskContext&, const JobName&, const std::string& actor, const char* action, const char* reason);

} // namespace kingcuploom
