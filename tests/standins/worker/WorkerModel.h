#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/ResourceAmounts.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuploom::testing {

enum class RunState {
    Running,
    Finished,
    Failed,
    Stopped,
    Lapsed,
};

const char* toString(RunState);

enum class WorkerRefusal {
    StaleEpoch,
    StaleAttempt,
    Expired,
};

const char* toString(WorkerRefusal);

struct RunKey {
    TaskId task;
    Attempt attempt;

    auto operator<=>(const RunKey&) const = default;
};

struct RunOrder {
    ShardId shard;
    RunKey key;
    Epoch epoch;
    ResourceAmounts demand;
    Milliseconds lease {};
    Milliseconds validFor {};
    // Run time at full speed; 0 for a task that runs until it is stopped.
    Milliseconds work {};
    // Progress of earlier attempts, in milliseconds of work.
    std::uint64_t checkpoint = 0;
    std::string className {};
};

struct SyncOrder {
    ShardId shard;
    Epoch epoch;
    Milliseconds lease {};
    std::vector<RunKey> renew;
    std::vector<RunKey> acknowledge;
};

struct RunReport {
    RunKey key;
    RunState state = RunState::Running;
    std::uint64_t checkpoint = 0;
};

struct UsageReport {
    TaskId task;
    ResourceAmounts amounts;
    double slowdown = 1;
};

struct SyncReport {
    Epoch epoch;
    std::vector<RunReport> runs;
    std::vector<UsageReport> usage;
    Milliseconds usageAge {};
};

struct Behaviour {
    // All running and new tasks fail.
    bool failAll = false;
    // Additional run time of new tasks.
    Milliseconds extra {};
    bool unreachable = false;
    // Age of the reported usage; tasks that have run for less than this time are not reported.
    Milliseconds lag {};
    // Actual CPU and memory usage relative to the declared demand.
    unsigned usePerMille = 1000;
    // Slowdown factor, by class, that one unthrottled task causes for each task that runs until it is stopped.
    std::map<std::string, double> slowdowns {};
    // Slowdown factor, by class, that throttling does not reduce.
    std::map<std::string, double> fixedSlowdowns {};
    // New tasks of this class fail; empty for none.
    std::string failingClass {};
};

struct StartEvent {
    RunKey key;
    Epoch epoch;
    ShardId shard;
    WallTime at;
};

struct EndEvent {
    RunKey key;
    RunState state = RunState::Finished;
    std::uint64_t checkpoint = 0;
    WallTime at;
};

struct WorkerRecord {
    std::vector<StartEvent> starts;
    std::vector<EndEvent> ends;
    ResourceAmounts capacity;
    // Maximum total declared demand of concurrently running tasks.
    ResourceAmounts peak;
    // Whether two attempts of the same task ran concurrently.
    bool ranTwiceAtOnce = false;
    unsigned syncs = 0;
    unsigned refusals = 0;
    unsigned throttles = 0;
    // Current slowdown of tasks that run until they are stopped.
    double slowdown = 1;
};

// Simulates the leased tasks of one VM. Simulated time advances only in calls: each call first processes the task ends that are due,
// in time order. Accepts more demand than the capacity, so that overcommit shows in the record. Thread-safe.
class WorkerModel {
public:
    WorkerModel(const Clock&, const ResourceAmounts& capacity, bool compareEpochs);

    Expected<void, WorkerRefusal> start(const RunOrder&);
    Expected<SyncReport, WorkerRefusal> sync(const SyncOrder&);
    Expected<std::uint64_t, WorkerRefusal> stop(const ShardId&, Epoch, const RunKey&);
    Expected<std::uint64_t, WorkerRefusal> checkpoint(const ShardId&, Epoch, const RunKey&);
    Expected<void, WorkerRefusal> throttle(const ShardId&, Epoch, const RunKey&, unsigned sharePerMille);

    // Drops all tasks, epochs and attempts, as a restart of the VM does. Keeps the record.
    void restart();

    void setBehaviour(const Behaviour&);
    Behaviour behaviour() const;
    WorkerRecord record();
    void forgetPeak();

private:
    struct Run {
        ShardId shard;
        RunState state = RunState::Running;
        ResourceAmounts demand;
        std::string className;
        // 0 for a task that runs until it is stopped.
        double workMs = 0;
        double progressMs = 0;
        double speed = 1;
        bool isFailing = false;
        MonotonicTime startedAt {};
        MonotonicTime progressUpdatedAt {};
        MonotonicTime leaseEnd {};
    };

    struct Measurement {
        MonotonicTime at {};
        double slowdown = 1;
    };

    void advance();
    double computeSlowdown() const;
    Measurement recordMeasurement(MonotonicTime now);
    void end(const RunKey&, Run&, RunState, MonotonicTime at);
    bool acceptEpoch(const ShardId&, Epoch);
    void updatePeak(const RunKey&);
    WallTime toWallTime(MonotonicTime) const;
    static std::pair<MonotonicTime, RunState> nextEnd(const Run&);
    static std::uint64_t computeProgress(const Run&, MonotonicTime);

    const Clock& m_clock;
    const bool m_compareEpochs;
    mutable std::mutex m_mutex;
    Behaviour m_behaviour;
    std::map<RunKey, Run> m_runs;
    std::map<ShardId, Epoch> m_epochs;
    // Highest attempt started or stopped, by task.
    std::map<TaskId, Attempt> m_attempts;
    WorkerRecord m_record;
    // One per sync, oldest first.
    std::vector<Measurement> m_measurements;
};

} // namespace kingcuploom::testing
