#include "daemon/TaskService.h"

#include "CapacityTable.h"
#include "HttpWorkerPort.h"
#include "JobCoordinator.h"
#include "LedgerDriver.h"
#include "TaskQueries.h"
#include "TeamUse.h"
#include "WorkPool.h"
#include "WorkerVisitor.h"
#include "base/Log.h"

#include <algorithm>
#include <atomic>

namespace kingcuploom {

namespace {

    constexpr Milliseconds tickInterval { 20 };
    // A worker that does not answer holds a thread for this long.
    constexpr WorkerTimeouts workerTimeouts { Milliseconds(1000), Milliseconds(450) };
    constexpr unsigned workerThreads = 24;
    // Bounds the store calls in progress, so that a slow store is not flooded.
    constexpr unsigned storeThreads = 4;
    // Finds what a stalled watch missed; one read per daemon.
    constexpr Milliseconds catchUpInterval { 5000 };
    // A watch that breaks again and again must not turn into a stream of full reads.
    constexpr Milliseconds minReloadInterval { 500 };

    std::uint64_t seedOf(const schema::SettingsT& settings, const Clock& clock)
    {
        const auto start = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
        return std::hash<std::string>()(settings.daemon_id) ^ start;
    }

} // namespace

struct TaskService::State {
    State(const schema::SettingsT& settings, const Clock& clock, OwnershipView& ownership, ConfigView& config, ShardRecords& records,
        TargetCatalog& targets, store::Store& store, http::HttpClient& client, AuditSink& audit, prometheus::Registry& registry)
        : metrics(registry)
        , store(store)
        , backoff(seedOf(settings, clock))
        , jobs(store, clock, backoff, seedOf(settings, clock) + 1)
        , workers(client, workerTimeouts)
        , context { settings, clock, ownership, config, records, targets, audit, metrics, backoff, jobs, workers, table }
        , driver(context)
        , visitor(context)
        , coordinator(context, capacities)
    {
    }

    void run();
    void tick();
    void tickJobs(MonotonicTime now);
    void readJobs();
    void startWatch();

    TaskMetrics metrics;
    store::Store& store;
    StoreBackoff backoff;
    JobBoard jobs;
    HttpWorkerPort workers;
    ShardTable table;
    CapacityTable capacities;
    TaskContext context;
    LedgerDriver driver;
    WorkerVisitor visitor;
    JobCoordinator coordinator;
    WorkPool storePool { storeThreads };
    WorkPool workerPool { workerThreads };

    std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::thread thread;

    // Used only by the job with the key "jobs".
    std::unique_ptr<store::Watch> watch;
    std::atomic<bool> isWatchLost = true;
    std::atomic<MonotonicTime> nextReadAt { MonotonicTime() };
    std::atomic<MonotonicTime> nextReloadAt { MonotonicTime() };
    MonotonicTime nextPassAt {};
};

void TaskService::State::startWatch()
{
    isWatchLost = false;
    watch = store.watch(
        JobBoard::prefix, jobs.revision().next(), [this](const auto& events) { jobs.observe(events); }, [this] { isWatchLost = true; });
    if (!watch)
        isWatchLost = true;
}

void TaskService::State::readJobs()
{
    const auto now = context.clock.now();
    if (!backoff.mayCall(now))
        return;
    const bool needsWatch = isWatchLost;
    nextReloadAt = now + minReloadInterval;
    nextReadAt = now + catchUpInterval;
    const auto result = needsWatch ? jobs.reload() : jobs.catchUp();
    if (!result) {
        backoff.failed(context.clock.now());
        logEvent(LogLevel::Warning, "jobs_not_read", { { "error", store::toString(result.error().code) } });
        return;
    }
    backoff.succeeded();
    if (needsWatch)
        startWatch();
}

void TaskService::State::tickJobs(MonotonicTime now)
{
    if ((isWatchLost && now >= nextReloadAt.load()) || now >= nextReadAt.load())
        storePool.post("jobs", [this] { readJobs(); });
    if (now < nextPassAt)
        return;
    nextPassAt = now + Milliseconds(context.settings.ledger_commit_ms);
    capacities.update(driver.capacityFigures(), now);
    storePool.post("coordinate", [this] { coordinator.pass(); });
}

void TaskService::State::tick()
{
    const auto owned = context.ownership.ownedShards();
    driver.adoptShards(owned);
    tickJobs(context.clock.now());
    for (const auto& shard : owned) {
        const auto id = shard.shard;
        if (driver.isCommitDue(id))
            storePool.post("commit " + id.value(), [this, id] { driver.commitRound(id); });
        for (const auto& vm : visitor.takeDueVisits(id)) {
            // Refused while a visit of an earlier epoch is in progress.
            if (!workerPool.post("visit " + vm.value(), [this, id, vm] { visitor.visit(id, vm); }))
                visitor.dropVisit(id, vm);
        }
    }
}

void TaskService::State::run()
{
    std::unique_lock lock(mutex);
    while (!isStopping) {
        lock.unlock();
        tick();
        lock.lock();
        wake.wait_for(lock, tickInterval, [this] { return isStopping; });
    }
}

TaskService::TaskService(const schema::SettingsT& settings, const Clock& clock, OwnershipView& ownership, ConfigView& config,
    ShardRecords& records, TargetCatalog& targets, store::Store& store, http::HttpClient& client, AuditSink& audit,
    prometheus::Registry& registry)
    : m_state(std::make_unique<State>(settings, clock, ownership, config, records, targets, store, client, audit, registry))
{
}

TaskService::~TaskService() { stop(); }

void TaskService::start()
{
    m_state->isStopping = false;
    m_state->storePool.start();
    m_state->workerPool.start();
    m_state->thread = std::thread([this] { m_state->run(); });
}

void TaskService::stop()
{
    {
        const std::scoped_lock lock(m_state->mutex);
        m_state->isStopping = true;
    }
    m_state->wake.notify_all();
    if (m_state->thread.joinable())
        m_state->thread.join();
    m_state->storePool.stop();
    m_state->workerPool.stop();
    m_state->watch.reset();
}

std::vector<schema::CapacityFigureT> TaskService::capacityFigures() const { return m_state->driver.capacityFigures(); }

void TaskService::updateCapacities(const std::vector<schema::CapacityFigureT>& figures)
{
    m_state->capacities.update(figures, m_state->context.clock.now());
}

Expected<SubmitOutcome, ledger::JobError> TaskService::submitJob(const schema::JobSpecT& spec, const std::string& actor)
{
    auto result = m_state->jobs.submit(spec, actor);
    auditJob(m_state->context, JobName(spec.name), actor, "submit",
        result ? (*result == SubmitOutcome::Accepted ? "Accepted" : "Repeated") : ledger::toString(result.error().code));
    const auto capacities = vmCapacities(*m_state->context.targets.snapshot());
    const auto check = placement::checkFleet(capacities, ledger::demandOf(spec));
    // The job waits as impossible until a VM is listed that it fits.
    if (result && !capacities.empty() && !check)
        auditJob(m_state->context, JobName(spec.name), actor, "impossible", placement::toString(check.error().reason));
    return result;
}

Expected<CancelOutcome, ledger::JobError> TaskService::cancelJob(const JobName& name, const std::string& actor)
{
    auto result = m_state->jobs.cancel(name);
    auditJob(m_state->context, name, actor, "cancel",
        result ? (*result == CancelOutcome::Accepted ? "Accepted" : "NoChange") : ledger::toString(result.error().code));
    return result;
}

Expected<JobStatus, ledger::JobError> TaskService::findJob(const JobName& name) const
{
    const auto job = m_state->jobs.find(name);
    if (!job.record)
        return makeUnexpected(ledger::JobError { ledger::JobErrorCode::NoSuchJob, "" });
    return JobStatus { name, job.revision, job.record };
}

std::vector<JobSummary> TaskService::listJobs() const { return summariseJobs(m_state->jobs); }

Expected<TaskExplanation, ledger::JobError> TaskService::explainTask(const TaskId& task) const
{
    return explain(m_state->context, m_state->driver, m_state->capacities, task);
}

std::optional<std::string> TaskService::quarantineOf(const ShardId& shard, const VmId& vm) const
{
    return m_state->driver.quarantineOf(shard, vm);
}

} // namespace kingcuploom
