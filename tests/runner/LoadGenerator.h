#pragma once

#include "http/HttpClient.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcuploom::scenario {

// One call of a recorded trace.
struct ScheduledCall {
    // Since the start of the load.
    Milliseconds startOffset {};
    std::string service;
    std::string team;
    std::string method;
    int workMs = 0;
    int deadlineMs = 0;
    int bodyBytes = 0;
};

struct LoadOptions {
    // Base URLs of the daemons; callers take them in turn.
    std::vector<std::string> urls;
    std::string service;
    std::string team;
    std::string method = "POST";
    // Prefix of X-Request-Id, unique in a scenario.
    std::string idPrefix;
    int callers = 4;
    // Calls in all; 0 means until stop().
    int calls = 0;
    int workMs = 5;
    int deadlineMs = 2000;
    int bodyBytes = 64;
    // Start of the path before the service; empty for calls straight to an executor.
    std::string pathPrefix = "/v1/call/";
    // Keeps connections open between calls, as a caller with a connection pool does.
    bool reusesConnections = false;
    // Open loop: the calls of a trace at their times instead of closed loops.
    std::vector<ScheduledCall> schedule;
};

// How one call ended, as its caller saw it.
struct CallRecord {
    std::string id;
    int status = 0;
    // Value of X-Kingcuploom-Outcome; "no-connection" or "connection-lost" when there was no answer.
    std::string outcome;
    // The answer echoes exactly this call's id and body.
    bool isIntactResponse = false;
    std::chrono::microseconds latency {};
};

// Callers that send requests in closed loops from threads of their own.
class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions);
    ~LoadGenerator();

    // Waits for the calls to end and returns all records.
    std::vector<CallRecord> waitForCompletion();
    // Ends the loops after the calls in progress.
    std::vector<CallRecord> stop();
    std::size_t recordCount() const;

private:
    void runClosedLoop(int caller);
    void runSchedule(int caller);
    CallRecord sendCall(const std::string& url, const std::string& id, const ScheduledCall&);
    void addRecord(CallRecord);

    LoadOptions m_options;
    http::HttpClient m_client;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_nextCall = 0;
    std::chrono::steady_clock::time_point m_startTime = std::chrono::steady_clock::now();
    mutable std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuploom::scenario
