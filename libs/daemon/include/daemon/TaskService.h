#pragma once

#include "base/Clock.h"
#include "daemon/AuditSink.h"
#include "daemon/ConfigView.h"
#include "daemon/OwnershipView.h"
#include "daemon/ShardRecords.h"
#include "daemon/TargetCatalog.h"
#include "http/HttpClient.h"
#include "ledger/JobRecords.h"
#include "schema/generated/link_generated.h"
#include "schema/generated/settings_generated.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace prometheus {
class Registry;
}

namespace kingcuploom {

enum class SubmitOutcome {
    Accepted,
    // The same job was submitted before.
    Repeated,
};

enum class CancelOutcome {
    Accepted,
    // The job was cancelled or done before.
    NoChange,
};

// A job as it stands in the store. Immutable.
struct JobStatus {
    JobName name;
    Revision revision;
    std::shared_ptr<const schema::JobRecordT> record;
};

struct JobSummary {
    JobName name;
    TeamName team;
    schema::JobKind kind = schema::JobKind::Batch;
    bool cancelled = false;
    bool done = false;
    // Number of tasks per state of the job record.
    std::map<schema::TaskState, unsigned> tasksByState;
};

// Where a task stands and why.
struct TaskExplanation {
    TaskId task;
    Attempt attempt;
    // State in the job record.
    schema::TaskState state = schema::TaskState::Pending;
    schema::EndReason lastEndReason = schema::EndReason::None;
    unsigned failures = 0;
    // Workers that count against the task.
    std::vector<std::string> failedWorkers;
    // Share of its processors that the policy leaves to the task, when it runs on a worker of this daemon.
    std::optional<unsigned> sharePerMille;
    std::uint64_t checkpoint = 0;
    ShardId shard;
    std::optional<DaemonId> shardOwner;
    // State and worker in the ledger of the shard, when the shard has taken the attempt in.
    std::optional<schema::TaskState> ledgerState;
    VmId worker;
    // Typed reason code of why it is not running, empty when it runs or has ended.
    std::string waitingFor;
    // key=value pairs.
    std::string figures;
};

// Batch and standing tasks: coordinator of the jobs and keeper of the ledgers that this daemon is responsible for (docs/design.md,
// section 6). Thread-safe; owns its threads. Calls that write block for at most a few store timeouts.
class TaskService {
public:
    TaskService(const schema::SettingsT&, const Clock&, OwnershipView&, ConfigView&, ShardRecords&, TargetCatalog&, store::Store&,
        http::HttpClient&, AuditSink&, prometheus::Registry&);
    ~TaskService();
    TaskService(const TaskService&) = delete;
    TaskService& operator=(const TaskService&) = delete;

    void start();

    // Waits for the calls in progress.
    void stop();

    // Free capacity of the shards that this daemon owns and may start tasks in, for the heartbeats.
    std::vector<schema::CapacityFigureT> capacityFigures() const;

    // Takes the figures of a peer's heartbeat.
    void updateCapacities(const std::vector<schema::CapacityFigureT>&);

    // Accepted once the job's record is in the store.
    Expected<SubmitOutcome, ledger::JobError> submitJob(const schema::JobSpecT&, const std::string& actor);
    Expected<CancelOutcome, ledger::JobError> cancelJob(const JobName&, const std::string& actor);

    Expected<JobStatus, ledger::JobError> findJob(const JobName&) const;
    std::vector<JobSummary> listJobs() const;
    Expected<TaskExplanation, ledger::JobError> explainTask(const TaskId&) const;

    // Standing of a worker that gets no or only one task because of failures; only of shards that this daemon owns.
    std::optional<std::string> quarantineOf(const ShardId&, const VmId&) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace kingcuploom
