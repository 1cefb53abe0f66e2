#pragma once

#include "base/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kingcuploom::testing {

// What a task does, as its payload says: "work_ms=300 cpu=1000 fail=0 stands=0".
struct TaskWork {
    Milliseconds work { 100 };
    std::int64_t cpuMillis = 0;
    // Number of runs that fail before one succeeds.
    std::int64_t failures = 0;
    bool isLongRunning = false;
};

TaskWork parseTaskWork(const std::string& payload);

enum class CommandResult {
    Done,
    Fenced,
    StaleRun,
    LeaseExpired,
    NoCapacity,
};

// The word of the interface, empty for Done.
const char* toReason(CommandResult);

struct ModelRun {
    std::string task;
    std::int64_t number = 0;
    TaskWork work;
    Milliseconds done { 0 };
    int speedPercent = 100;
    bool willFail = false;

    int percent() const;
};

struct ModelTaskEnd {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string outcome;
};

struct ExecutorReport {
    std::int64_t clockMs = 0;
    std::vector<ModelRun> running;
    std::vector<ModelTaskEnd> ends;
};

// One life of an executor of the platform: runs tasks under a lease by its own clock, keeps the highest fence and the ends that are not
// acknowledged. Reports what it does to an observer, with the time of the machine's steady clock. Thread-safe.
class ExecutorModel {
public:
    struct Event {
        std::string name;
        MonotonicTime at;
        std::string task;
        std::int64_t run = 0;
        std::string outcome;
        std::int64_t fence = 0;
    };
    using Observer = std::function<void(const Event&)>;

    // "clockRate" is the speed of its clock: 0.98 runs 2% slow.
    ExecutorModel(std::int64_t cpuMillis, double clockRate, Observer);

    CommandResult start(
        const std::string& task, std::int64_t run, const std::string& payload, std::int64_t leaseUntilMs, std::int64_t fence);
    CommandResult stop(const std::string& task, std::int64_t run, std::int64_t fence);
    CommandResult pace(const std::string& task, std::int64_t run, int percent, std::int64_t fence);
    // Extends the lease, acknowledges ends and waits for an end that is not acknowledged.
    CommandResult poll(
        std::optional<std::int64_t> leaseUntilMs, std::int64_t fence, std::int64_t acknowledged, Milliseconds wait, ExecutorReport&);

    std::int64_t clockMs() const;
    // Lets time pass; to be called often.
    void tick();

private:
    static constexpr Milliseconds maxLease { 10'000 };

    std::int64_t clockAt(MonotonicTime) const;
    bool acceptFence(std::int64_t fence);
    void extendLease(std::int64_t leaseUntilMs);
    void advance(MonotonicTime);
    void end(const std::string& task, const std::string& outcome, MonotonicTime);
    std::int64_t usedCpu() const;

    const std::int64_t m_cpuMillis;
    const double m_clockRate;
    const Observer m_observer;
    const MonotonicTime m_begin;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    MonotonicTime m_advancedTo;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<std::string, ModelRun> m_running;
    // Highest run of a task that was stopped or has ended here.
    std::map<std::string, std::int64_t> m_highestEndedRun;
    std::map<std::string, std::int64_t> m_failures;
    std::deque<ModelTaskEnd> m_ends;
    std::int64_t m_endCount = 0;
};

} // namespace kingcuploom::testing
