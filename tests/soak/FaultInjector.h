#pragma once

#include "Cluster.h"
#include "InvariantChecker.h"
#include "StoreOutages.h"
#include "base/Random.h"

#include <functional>
#include <optional>
#include <thread>

namespace kingcuploom::soak {

// Injects seeded faults from outside the processes, sequential and overlapping: signals, broken and blocked links, store faults, replaced
// executors and changes by operators. Not thread-safe.
class FaultInjector {
public:
    FaultInjector(Cluster&, InvariantChecker&, std::uint64_t seed);

    // Lets the store also turn single daemons away, mostly the leader, while it serves the others.
    void enableSingleRefusals() { m_hasSingleRefusals = true; }
    // Lets the store also have outages as a whole, the last one just before each time without faults.
    void enableStoreOutages(std::uint64_t seed) { m_storeOutages.emplace(m_cluster, m_checker, seed); }

    // Injects faults for the given duration. Each fault ends after a random time, at the latest in finish().
    void run(Milliseconds);
    // Ends all faults, and resumes or restarts all processes. Returns false if a process could not be started.
    bool finish();
    // Injects nothing for the given duration, in which the bounds of times without faults are checked.
    void stayCalm(Milliseconds);
    // Restarts, after a time, the executors whose process a task has ended. To be called all the while.
    void superviseExecutors();

    std::size_t faultCount() const { return m_faultCount; }

private:
    struct Recovery {
        MonotonicTime at;
        std::function<void()> action;
    };

    void injectFault();
    // An executor is given for a fault of its process alone.
    void scheduleRecovery(Milliseconds, std::function<void()>, const std::string& executor = {});
    void runDueRecoveries(MonotonicTime);
    Milliseconds randomDuration(std::uint64_t minMs, std::uint64_t maxMs);

    void killDaemon(unsigned);
    void killAllDaemons();
    void terminateDaemon(unsigned);
    void pauseDaemon(unsigned);
    void sendHangup(unsigned);
    // Stops and resumes the daemon every 100 ms, so that it is short of processor time.
    void throttleDaemon(unsigned);
    void throttleSomeDaemons();
    // The store refuses the calls of one daemon, or does not answer them.
    void turnAwayOneDaemon();
    // The daemon that wrote last that it leads, if one does. A paused or cut off daemon may still be named after it was replaced.
    std::optional<unsigned> findLeader();
    void killExecutor(unsigned);
    void pauseExecutor(unsigned);
    void pauseStore();
    void degradeStore();
    void degradeLink(FaultProxy&);
    void changeConfig();
    void evacuate();
    void restartDaemon(unsigned);
    void restartExecutor(unsigned);

    Cluster& m_cluster;
    InvariantChecker& m_checker;
    Random m_random;
    // Separate, so that the other faults of a seed are drawn in the same order as without throttling.
    Random m_throttleRandom;
    Random m_refusalRandom;
    bool m_hasSingleRefusals = false;
    bool m_isOneTurnedAway = false;
    std::optional<StoreOutages> m_storeOutages;
    std::vector<Recovery> m_recoveries;
    std::vector<bool> m_hasDaemonFault;
    std::vector<MonotonicTime> m_daemonStartedAt;
    std::vector<bool> m_hasExecutorFault;
    bool m_hasStoreFault = false;
    bool m_hasEvacuation = false;
    bool m_areAllRunning = true;
    std::int64_t m_configVersion = 1;
    std::size_t m_faultCount = 0;
};

} // namespace kingcuploom::soak
