#pragma once

#include "http/HttpClient.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcuploom::scenario {

// One call of an open-loop schedule, for example from a recorded trace.
struct ScheduledCall {
    // Send time, relative to the construction of the load generator.
    Milliseconds startOffset {};
    std::string service;
    std::string team;
    std::string method;
    int workMs = 0;
    int deadlineMs = 0;
    int bodyBytes = 0;
};

struct LoadOptions {
    // Base URLs of the daemons. Each caller uses them in round-robin order.
    std::vector<std::string> urls;
    std::string service;
    std::string team;
    std::string method = "POST";
    // Prefix of X-Request-Id. Must be unique within a scenario.
    std::string idPrefix;
    int callers = 4;
    // Total number of calls; 0 for no limit, until stop().
    int calls = 0;
    int workMs = 5;
    int deadlineMs = 2000;
    int bodyBytes = 64;
    // Path prefix before the service name; empty for calls sent directly to an executor.
    std::string pathPrefix = "/v1/call/";
    // Reuses connections between calls, like a caller with a connection pool.
    bool reusesConnections = false;
    // If not empty, sends these calls at their scheduled times (open loop) instead of running closed loops.
    std::vector<ScheduledCall> schedule;
};

// Result of one call as the caller observed it.
struct CallRecord {
    std::string id;
    int status = 0;
    // Value of X-Kingcuploom-Outcome; "no-connection" or "connection-lost" if there was no response.
    std::string outcome;
    // The response carries this call's X-Request-Id and contains the whole request body.
    bool isIntactResponse = false;
    std::chrono::microseconds latency {};
};

// Sends requests from one thread per caller, in closed loops or on a schedule.
class LoadGenerator {
public:
    explicit LoadGenerator(LoadOptions);
    ~LoadGenerator();

    // Waits until all calls have completed and returns their records.
    std::vector<CallRecord> waitForCompletion();
    // Stops after the calls in progress and returns all records.
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
