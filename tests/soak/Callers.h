#pragma once

#include "Cluster.h"
#include "InvariantChecker.h"
#include "base/Random.h"

#include <atomic>
#include <thread>

namespace kingcuploom::soak {

// Callers that hand in jobs, cancel some and ask for their states, each in a thread of its own. They keep their connections open.
class Callers {
public:
    Callers(const Cluster&, InvariantChecker&, unsigned count, std::uint64_t seed);
    ~Callers();

    // No further job is handed in.
    void stop();
    // Asks for the state of each accepted job that has not ended.
    void pollAllStates();

private:
    void run(std::uint64_t seed);
    JobRecord createJob(Random&);
    void submit(JobRecord&, Random&);
    void cancel(const std::string& id, Random&);
    void pollState(const JobRecord&, Random&);
    // Status of the answer, 0 for none.
    int call(const std::string& method, const std::string& id, const std::string& body, Random&, std::string* answer = nullptr);

    const Cluster& m_cluster;
    InvariantChecker& m_checker;
    http::HttpClient m_client;
    std::atomic<bool> m_isStopping = false;
    std::atomic<unsigned> m_longRunningJobs = 0;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuploom::soak
