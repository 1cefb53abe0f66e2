#pragma once

#include "base/Clock.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace kingcuploom::soak {

// A job that a caller submitted, and what the caller has observed of it.
struct JobRecord {
    std::string id;
    std::string payload;
    // Number of tasks per step. A step starts after the previous step is done.
    std::vector<unsigned> counts;
    bool isLongRunning = false;
    // Each task fails at all attempts that the queue allows.
    bool isExpectedToFail = false;

    bool isAccepted = false;
    // Every attempt to submit the job was refused.
    bool isRefused = false;
    bool isCancelSent = false;
    bool isCancelled = false;
    std::string lastState;
};

// Checks scheduling invariants during the soak, from the events that executors log and the responses that callers receive. Thread-safe.
class InvariantChecker {
public:
    InvariantChecker(std::filesystem::path folder, int maxAttempts);

    void addJob(const JobRecord&);
    void recordAccepted(const std::string& id);
    void recordRefused(const std::string& id);
    void recordCancelSent(const std::string& id);
    void recordCancelled(const std::string& id);
    void recordState(const std::string& id, const std::string& state);
    void recordUnknown(const std::string& id);

    void recordPaused(const std::string& executor);
    void recordResumed(const std::string& executor);
    // The executor's process was killed at this time, which ended all its runs.
    void recordKilled(const std::string& executor, MonotonicTime);

    // Reads new events from the executors' logs and checks them in order of time, up to the time for which all logs are complete.
    void readEvents();
    // Checks, after the last fault, that each job is in the state that its caller expects. Returns one text per unmet expectation.
    std::vector<std::string> unmetExpectations();

    std::vector<JobRecord> jobs() const;
    std::vector<std::string> violations() const;
    std::size_t startCount() const;

private:
    struct Event {
        std::string executor;
        std::string name;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };
    struct RunEnd {
        std::string executor;
        std::int64_t run = 0;
        // Another run of the task started after this one ended.
        bool hasLaterRun = false;
    };

    void processEvent(const Event&);
    void processStart(const Event&);
    void processEnd(const Event&);
    void processAcknowledgement(const Event&);
    void processKilled(const std::string& executor);
    void checkStepOrder(const Event&, const JobRecord&);
    void addViolation(const std::string&);
    std::vector<std::string> unmetExpectationsOfJob(const JobRecord&) const;
    std::size_t runningCount(const std::string& job) const;

    const std::filesystem::path m_folder;
    const int m_maxAttempts;

    mutable std::mutex m_mutex;
    std::map<std::string, JobRecord> m_jobs;
    std::map<std::filesystem::path, std::uintmax_t> m_readOffsets;
    std::multimap<std::int64_t, Event> m_events;
    std::map<std::string, std::int64_t> m_pausedAt;
    // Number of the current run, by task and executor.
    std::map<std::string, std::map<std::string, std::int64_t>> m_running;
    std::set<std::string> m_done;
    std::map<std::string, RunEnd> m_lastDoneEnds;
    std::set<std::string> m_acknowledgedDone;
    std::map<std::string, int> m_acknowledgedFailures;
    std::vector<std::string> m_violations;
    std::size_t m_startCount = 0;
};

} // namespace kingcuploom::soak
