#pragma once

#include "base/Expected.h"
#include "ledger/WorkerReports.h"

#include <string>
#include <vector>

namespace kingcuploom {

enum class WorkerErrorCode {
    // No byte was sent.
    NotSent,
    // The call may have taken effect.
    OutcomeUnknown,
    StaleEpoch,
    StaleAttempt,
    // The time limit for starting had passed.
    Expired,
    // The worker answered something else than its interface says.
    Protocol,
};

struct WorkerError {
    WorkerErrorCode code;
    std::string detail;
};

// True when the worker answered, whatever it said.
inline bool isAnswered(WorkerErrorCode code) { return code != WorkerErrorCode::NotSent && code != WorkerErrorCode::OutcomeUnknown; }

struct StartCall {
    ShardId shard;
    Epoch epoch;
    ledger::AttemptKey key;
    ResourceAmounts demand;
    Milliseconds lease {};
    // Time limit for starting, from receipt.
    Milliseconds validFor {};
    // 0 runs until stopped.
    Milliseconds work {};
    std::uint64_t checkpoint = 0;
    std::string className;
};

struct SyncCall {
    ShardId shard;
    Epoch epoch;
    Milliseconds lease {};
    std::vector<ledger::AttemptKey> renew;
    std::vector<ledger::AttemptKey> acknowledge;
};

struct TaskUsage {
    TaskId task;
    ResourceAmounts observed;
    // Slowdown of co-located work that the worker measured, 1 for none.
    double slowdown = 1;
};

struct SyncAnswer {
    Epoch epoch;
    std::vector<ledger::TaskReport> reports;
    std::vector<TaskUsage> usage;
    Milliseconds usageAge {};
};

struct StopCall {
    ShardId shard;
    Epoch epoch;
    ledger::AttemptKey key;
};

struct ThrottleCall {
    ShardId shard;
    Epoch epoch;
    ledger::AttemptKey key;
    // Per mille of what the task would use unthrottled.
    unsigned sharePerMille = 1000;
};

// The worker interface of docs/design.md, section 2.1. Calls block; thread-safe.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;
    virtual Expected<void, WorkerError> start(const std::string& url, const StartCall&) = 0;
    virtual Expected<SyncAnswer, WorkerError> sync(const std::string& url, const SyncCall&) = 0;
    // Returns the checkpoint.
    virtual Expected<std::uint64_t, WorkerError> stop(const std::string& url, const StopCall&) = 0;
    virtual Expected<void, WorkerError> throttle(const std::string& url, const ThrottleCall&) = 0;
};

} // namespace kingcuploom
