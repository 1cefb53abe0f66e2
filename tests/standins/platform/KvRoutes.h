#pragma once

#include "KvState.h"
#include "http/HttpServer.h"

#include <atomic>
#include <thread>

namespace kingcuploom::testing {

// Troubles of the store, as shares of its writing calls.
struct KvFaults {
    std::atomic<double> lostResponses = 0;
    // Carried out one to three seconds later, without an answer.
    std::atomic<double> lateWrites = 0;
    // Answered with 503, nothing done.
    std::atomic<double> refusals = 0;
    std::atomic<int> delayMs = 0;
};

// The platform's store, list of machines and the means of the soak to disturb them, over HTTP. Executors announce themselves with
// /standin/beat and are listed as machines until /standin/down names them.
class KvRoutes {
public:
    explicit KvRoutes(http::HttpServer&);
    ~KvRoutes();

    void stop();

private:
    struct Heartbeat {
        std::string value;
        MonotonicTime at;
        bool isListed = false;
    };
    struct LateWrite {
        KvTransaction transaction;
        MonotonicTime at;
    };

    http::Response getKey(const http::Request&);
    http::Response getRange(const http::Request&);
    http::Response getWatch(const http::Request&);
    http::Response postTransaction(const http::Request&);
    http::Response postLease(const http::Request&);
    http::Response heartbeat(const http::Request&);
    http::Response markDown(const http::Request&);
    http::Response operatorWrite(const http::Request&);
    http::Response setFaults(const http::Request&);
    http::Response listMachines();
    bool shouldInject(double share);
    void runHousekeeping();
    void expireHeartbeats();

    KvState m_state;
    KvFaults m_faults;
    std::atomic<bool> m_isStopping = false;

    // Guards the members below.
    std::mutex m_mutex;
    std::map<std::string, Heartbeat> m_heartbeats;
    std::vector<LateWrite> m_lateWrites;
    std::mt19937_64 m_random { 1 };
    std::thread m_housekeeping;
};

} // namespace kingcuploom::testing
