#include "FaultInjector.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace kingcuploom::soak {

namespace {

    // Time after which an executor that a task has crashed is back.
    constexpr Milliseconds crashedExecutorDownTime { 1500 };
    constexpr Milliseconds loopInterval { 10 };
    constexpr Milliseconds eventReadInterval { 300 };
    // Exceeds the duration of a graceful shutdown.
    constexpr Milliseconds exitTimeout { 8000 };
    constexpr unsigned maxStartAttempts = 3;
    constexpr Milliseconds daemonLoadTime { 500 };
    constexpr Milliseconds throttlePeriod { 100 };
    constexpr std::uint64_t minStoppedMs = 60;
    constexpr std::uint64_t maxStoppedMs = 90;
    constexpr std::uint64_t minThrottleMs = 2000;
    constexpr std::uint64_t maxThrottleMs = 8000;
    constexpr std::uint64_t minThrottlePauseMs = 1000;
    constexpr std::uint64_t maxThrottlePauseMs = 5000;
    constexpr std::uint64_t refusalSeedMask = 0x5bd1e995;
    constexpr std::uint64_t minRefusalMs = 500;
    constexpr std::uint64_t maxRefusalMs = 8000;
    constexpr std::uint64_t minRefusalPauseMs = 500;
    constexpr std::uint64_t maxRefusalPauseMs = 4000;

    MonotonicTime steadyNow() { return std::chrono::steady_clock::now(); }

    Milliseconds randomDuration(Random& random, std::uint64_t minMs, std::uint64_t maxMs)
    {
        return Milliseconds(minMs + random.below(maxMs - minMs + 1));
    }

    Milliseconds throttlePause(Random& random) { return randomDuration(random, minThrottlePauseMs, maxThrottlePauseMs); }

    // Returns the time of the last line that begins a leadership, if no later line ends it.
    std::optional<std::string> leadingSince(const std::string& log)
    {
        const auto taken = log.rfind(" event=leadership_taken ");
        if (taken == std::string::npos || log.find(" event=leadership_", taken + 1) != std::string::npos)
            return std::nullopt;
        const auto line = log.rfind('\n', taken) + 1;
        return log.substr(line, log.find(' ', line) - line);
    }

} // namespace

FaultInjector::FaultInjector(Cluster& cluster, InvariantChecker& checker, std::uint64_t seed)
    : m_cluster(cluster)
    , m_checker(checker)
    , m_random(seed)
    , m_throttleRandom(~seed)
    , m_refusalRandom(seed ^ refusalSeedMask)
    , m_hasDaemonFault(cluster.size().daemons)
    , m_daemonStartedAt(cluster.size().daemons)
    , m_hasExecutorFault(cluster.size().executors)
{
    // The start of the processes counts as a fault.
    checker.recordFaultEnd(checker.recordFaultBegin());
}

Milliseconds FaultInjector::randomDuration(std::uint64_t minMs, std::uint64_t maxMs)
{
    return soak::randomDuration(m_random, minMs, maxMs);
}

void FaultInjector::scheduleRecovery(Milliseconds time, std::function<void()> action, const std::string& executor)
{
    m_recoveries.push_back({ steadyNow() + time, [this, fault = m_checker.recordFaultBegin(executor), action = std::move(action)] {
                                action();
                                m_checker.recordFaultEnd(fault);
                            } });
}

void FaultInjector::runDueRecoveries(MonotonicTime upTo)
{
    std::vector<Recovery> due;
    std::erase_if(m_recoveries, [&](const Recovery& it) {
        if (it.at <= upTo)
            due.push_back(it);
        return it.at <= upTo;
    });
    std::ranges::sort(due, {}, &Recovery::at);
    std::ranges::for_each(due, [](const Recovery& it) { it.action(); });
}

void FaultInjector::run(Milliseconds time)
{
    const auto end = steadyNow() + time;
    auto nextFault = steadyNow() + randomDuration(100, 600);
    auto nextThrottle = steadyNow() + throttlePause(m_throttleRandom);
    auto nextRefusal = steadyNow() + soak::randomDuration(m_refusalRandom, minRefusalPauseMs, maxRefusalPauseMs);
    auto nextEventRead = steadyNow();
    while (steadyNow() < end) {
        superviseExecutors();
        if (steadyNow() >= nextFault) {
            injectFault();
            nextFault = steadyNow() + randomDuration(80, 1100);
        }
        if (steadyNow() >= nextThrottle) {
            throttleSomeDaemons();
            nextThrottle = steadyNow() + throttlePause(m_throttleRandom);
        }
        if (m_hasSingleRefusals && steadyNow() >= nextRefusal) {
            turnAwayOneDaemon();
            nextRefusal = steadyNow() + soak::randomDuration(m_refusalRandom, minRefusalPauseMs, maxRefusalPauseMs);
        }
        if (m_storeOutages)
            m_storeOutages->update();
        if (steadyNow() >= nextEventRead) {
            m_checker.readEvents();
            nextEventRead = steadyNow() + eventReadInterval;
        }
        std::this_thread::sleep_for(loopInterval);
    }
}

void FaultInjector::stayCalm(Milliseconds time)
{
    for (const auto end = steadyNow() + time; steadyNow() < end;) {
        superviseExecutors();
        m_checker.readEvents();
        std::this_thread::sleep_for(eventReadInterval);
    }
}

void FaultInjector::superviseExecutors()
{
    runDueRecoveries(steadyNow());
    for (unsigned executor = 0; executor < m_cluster.size().executors; ++executor) {
        const auto name = Cluster::executorName(executor);
        if (m_hasExecutorFault[executor] || m_cluster.processes().waitForExit(name, Milliseconds(0)) != Cluster::crashExitCode)
            continue;
        m_hasExecutorFault[executor] = true;
        std::cout << "fault=crash_by_task executor=" << executor << '\n';
        m_checker.recordKilled(name, steadyNow());
        m_cluster.reportExecutorDown(executor);
        scheduleRecovery(
            crashedExecutorDownTime, [this, executor] { restartExecutor(executor); }, name);
    }
}

bool FaultInjector::finish()
{
    // A recovery action can schedule another one.
    while (!m_recoveries.empty())
        runDueRecoveries(MonotonicTime::max());
    for (unsigned i = 0; i < m_cluster.size().daemons; ++i)
        m_cluster.storeLink(i).setFault({});
    for (unsigned i = 0; i < m_cluster.size().executors; ++i)
        m_cluster.executorLink(i).setFault({});
    m_cluster.setStoreFaults("{}");
    if (m_storeOutages)
        m_storeOutages->finish();
    return m_areAllRunning;
}

void FaultInjector::injectFault()
{
    const auto daemon = static_cast<unsigned>(m_random.below(m_cluster.size().daemons));
    const auto executor = static_cast<unsigned>(m_random.below(m_cluster.size().executors));
    const std::vector<std::function<void()>> kinds {
        [&] { killDaemon(daemon); },
        [&] { terminateDaemon(daemon); },
        [&] { pauseDaemon(daemon); },
        [&] { killExecutor(executor); },
        [&] { pauseExecutor(executor); },
        [&] { degradeLink(m_cluster.storeLink(daemon)); },
        [&] { degradeLink(m_cluster.storeLink(daemon)); },
        [&] { degradeLink(m_cluster.executorLink(executor)); },
        [&] { degradeLink(m_cluster.executorLink(executor)); },
        [&] { degradeStore(); },
        [&] { degradeStore(); },
        [&] { pauseStore(); },
        [&] { changeConfig(); },
        [&] { evacuate(); },
        [&] { sendHangup(daemon); },
        [&] {
            // Rare, because it also ends many other faults.
            if (m_random.below(3) == 0)
                killAllDaemons();
        },
    };
    ++m_faultCount;
    const auto fault = m_checker.recordFaultBegin();
    kinds[m_random.below(kinds.size())]();
    m_checker.recordFaultEnd(fault);
}

// Skips a daemon that may still be loading: before the program's first instruction SIGHUP terminates any process, as it did with seed 46.
void FaultInjector::sendHangup(unsigned daemon)
{
    if (steadyNow() - m_daemonStartedAt[daemon] > daemonLoadTime)
        (void)m_cluster.processes().sendSignal(Cluster::daemonName(daemon), SIGHUP);
}

void FaultInjector::restartDaemon(unsigned daemon)
{
    (void)m_cluster.processes().waitForExit(Cluster::daemonName(daemon), exitTimeout);
    m_checker.recordDaemonEnd(daemon);
    bool isUp = false;
    for (unsigned i = 0; i < maxStartAttempts && !isUp; ++i)
        isUp = m_cluster.startDaemon(daemon);
    m_areAllRunning = m_areAllRunning && isUp;
    m_hasDaemonFault[daemon] = false;
    m_daemonStartedAt[daemon] = steadyNow();
}

void FaultInjector::killDaemon(unsigned daemon)
{
    if (m_hasDaemonFault[daemon])
        return;
    m_hasDaemonFault[daemon] = true;
    std::cout << "fault=kill_daemon daemon=" << daemon << '\n';
    (void)m_cluster.processes().sendSignal(Cluster::daemonName(daemon), SIGKILL);
    scheduleRecovery(randomDuration(0, 2000), [this, daemon] { restartDaemon(daemon); });
}

void FaultInjector::killAllDaemons()
{
    for (unsigned i = 0; i < m_cluster.size().daemons; ++i)
        killDaemon(i);
}

void FaultInjector::terminateDaemon(unsigned daemon)
{
    if (m_hasDaemonFault[daemon])
        return;
    m_hasDaemonFault[daemon] = true;
    std::cout << "fault=terminate_daemon daemon=" << daemon << '\n';
    (void)m_cluster.processes().sendSignal(Cluster::daemonName(daemon), SIGTERM);
    scheduleRecovery(randomDuration(3500, 5000), [this, daemon] { restartDaemon(daemon); });
}

void FaultInjector::pauseDaemon(unsigned daemon)
{
    if (m_hasDaemonFault[daemon])
        return;
    m_hasDaemonFault[daemon] = true;
    std::cout << "fault=pause_daemon daemon=" << daemon << '\n';
    (void)m_cluster.processes().sendSignal(Cluster::daemonName(daemon), SIGSTOP);
    scheduleRecovery(randomDuration(200, 6000), [this, daemon] {
        (void)m_cluster.processes().sendSignal(Cluster::daemonName(daemon), SIGCONT);
        m_hasDaemonFault[daemon] = false;
    });
}

std::optional<unsigned> FaultInjector::findLeader()
{
    std::optional<unsigned> leader;
    std::string latest;
    for (unsigned i = 0; i < m_cluster.size().daemons; ++i) {
        const auto since = leadingSince(m_cluster.processes().output(Cluster::daemonName(i)));
        if (since && *since > latest) {
            leader = i;
            latest = *since;
        }
    }
    return leader;
}

void FaultInjector::turnAwayOneDaemon()
{
    // Silence, refusal of all calls, and of all but the renewals of leases, which leaves the leader its lease.
    constexpr std::uint64_t kinds = 5;
    const auto kind = m_refusalRandom.below(kinds);
    const auto other = static_cast<unsigned>(m_refusalRandom.below(m_cluster.size().daemons));
    const auto time = soak::randomDuration(m_refusalRandom, minRefusalMs, maxRefusalMs);
    if (std::exchange(m_isOneTurnedAway, true))
        return;
    ++m_faultCount;
    const auto daemon = kind == 0 ? other : findLeader().value_or(other);
    const bool isRefusing = kind < kinds - 1;
    const bool areLeasesServed = isRefusing && kind >= kinds / 2;
    std::cout << "fault=turn_away daemon=" << daemon << " refused=" << isRefusing << " leases_served=" << areLeasesServed
              << " ms=" << time.count() << '\n';
    auto& link = m_cluster.storeLink(daemon);
    LinkFault fault;
    fault.isRefusing = isRefusing;
    fault.servedPath = areLeasesServed ? "/kv-keep/" : "";
    fault.isBlockedToCaller = !isRefusing;
    link.setFault(fault);
    scheduleRecovery(time, [this, &link] {
        link.setFault({});
        m_isOneTurnedAway = false;
    });
}

void FaultInjector::throttleSomeDaemons()
{
    ++m_faultCount;
    const auto kind = m_throttleRandom.below(5);
    const auto daemon = static_cast<unsigned>(m_throttleRandom.below(m_cluster.size().daemons));
    if (kind == 0)
        return throttleDaemon(daemon);
    if (kind > 1)
        return throttleDaemon(findLeader().value_or(daemon));
    for (unsigned i = 0; i < m_cluster.size().daemons; ++i)
        throttleDaemon(i);
}

void FaultInjector::throttleDaemon(unsigned daemon)
{
    if (m_hasDaemonFault[daemon])
        return;
    m_hasDaemonFault[daemon] = true;
    const auto stopped = soak::randomDuration(m_throttleRandom, minStoppedMs, maxStoppedMs);
    std::cout << "fault=throttle_daemon daemon=" << daemon << " stopped_ms=" << stopped.count() << '\n';
    auto pulses = std::make_shared<std::jthread>(
        [&processes = m_cluster.processes(), name = Cluster::daemonName(daemon), stopped](const std::stop_token& token) {
            while (!token.stop_requested()) {
                (void)processes.sendSignal(name, SIGSTOP);
                std::this_thread::sleep_for(stopped);
                (void)processes.sendSignal(name, SIGCONT);
                std::this_thread::sleep_for(throttlePeriod - stopped);
            }
        });
    scheduleRecovery(soak::randomDuration(m_throttleRandom, minThrottleMs, maxThrottleMs), [this, daemon, pulses] {
        pulses->request_stop();
        pulses->join();
        m_hasDaemonFault[daemon] = false;
    });
}

void FaultInjector::restartExecutor(unsigned executor)
{
    bool isUp = false;
    for (unsigned i = 0; i < maxStartAttempts && !isUp; ++i)
        isUp = m_cluster.startExecutor(executor);
    m_areAllRunning = m_areAllRunning && isUp;
    m_hasExecutorFault[executor] = false;
}

void FaultInjector::killExecutor(unsigned executor)
{
    if (m_hasExecutorFault[executor])
        return;
    m_hasExecutorFault[executor] = true;
    std::cout << "fault=kill_executor executor=" << executor << '\n';
    const auto name = Cluster::executorName(executor);
    (void)m_cluster.processes().sendSignal(name, SIGKILL);
    (void)m_cluster.processes().waitForExit(name, exitTimeout);
    m_checker.recordKilled(name, steadyNow());
    // Reported in half of the cases only, since a restarted executor can be back before its failure is detected.
    if (m_random.below(2) == 0)
        m_cluster.reportExecutorDown(executor);
    scheduleRecovery(
        randomDuration(50, 3000), [this, executor] { restartExecutor(executor); }, name);
}

void FaultInjector::pauseExecutor(unsigned executor)
{
    if (m_hasExecutorFault[executor])
        return;
    m_hasExecutorFault[executor] = true;
    std::cout << "fault=pause_executor executor=" << executor << '\n';
    const auto name = Cluster::executorName(executor);
    m_checker.recordPaused(name);
    (void)m_cluster.processes().sendSignal(name, SIGSTOP);
    scheduleRecovery(
        randomDuration(200, 12'000),
        [this, executor, name] {
            (void)m_cluster.processes().sendSignal(name, SIGCONT);
            m_checker.recordResumed(name);
            m_hasExecutorFault[executor] = false;
        },
        name);
}

void FaultInjector::pauseStore()
{
    if (m_hasStoreFault)
        return;
    m_hasStoreFault = true;
    std::cout << "fault=pause_store\n";
    (void)m_cluster.processes().sendSignal(Cluster::storeName, SIGSTOP);
    // Blocks until the store resumes, because the soak program itself calls the store and would wait for a stopped one.
    std::this_thread::sleep_for(randomDuration(200, 3000));
    (void)m_cluster.processes().sendSignal(Cluster::storeName, SIGCONT);
    m_hasStoreFault = false;
}

void FaultInjector::degradeStore()
{
    constexpr const char* storeFaults[] = {
        R"({"lost_answers":0.3})",
        R"({"late_writes":0.2})",
        R"({"refusals":0.5})",
        R"({"delay_ms":150})",
        R"({"lost_answers":0.15,"late_writes":0.1,"refusals":0.1,"delay_ms":30})",
        R"({"drop_history":true})",
    };
    if (m_hasStoreFault)
        return;
    m_hasStoreFault = true;
    const auto* fault = storeFaults[m_random.below(std::size(storeFaults))];
    std::cout << "fault=degrade_store faults=" << fault << '\n';
    m_cluster.setStoreFaults(fault);
    scheduleRecovery(randomDuration(500, 4000), [this] {
        m_cluster.setStoreFaults("{}");
        m_hasStoreFault = false;
    });
}

void FaultInjector::degradeLink(FaultProxy& link)
{
    const auto kind = m_random.below(5);
    std::cout << "fault=degrade_link port=" << link.port() << " kind=" << kind << '\n';
    if (kind == 0)
        return link.reset();
    LinkFault fault;
    fault.isBlockedToTarget = kind == 1 || kind == 2;
    fault.isBlockedToCaller = kind == 1 || kind == 3;
    fault.delay = kind == 4 ? randomDuration(20, 400) : Milliseconds(0);
    link.setFault(fault);
    // In half of the cases, blocked connections are reset when the link recovers.
    const bool isResetAfter = m_random.below(2) == 0;
    scheduleRecovery(randomDuration(300, 5000), [&link, isResetAfter] {
        link.setFault({});
        if (isResetAfter)
            link.reset();
    });
}

void FaultInjector::changeConfig()
{
    m_configVersion += 1 + static_cast<std::int64_t>(m_random.below(3));
    std::cout << "fault=change_config version=" << m_configVersion << '\n';
    m_cluster.writeConfig(m_configVersion);
}

void FaultInjector::evacuate()
{
    if (m_hasEvacuation)
        return;
    m_hasEvacuation = true;
    const auto domain = Cluster::domainName(static_cast<unsigned>(m_random.below(Cluster::domainCount)));
    std::cout << "fault=evacuate domain=" << domain << '\n';
    m_cluster.setEvacuation(domain, true);
    scheduleRecovery(randomDuration(500, 4000), [this, domain] {
        m_cluster.setEvacuation(domain, false);
        m_hasEvacuation = false;
    });
}

} // namespace kingcuploom::soak
