#include "node/Coordinator.h"

#include "base/Log.h"
#include "scheduler/RunStarts.h"

#include <boost/asio/post.hpp>

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    constexpr Milliseconds tickInterval { 50 };
    constexpr Milliseconds jobWatchTimeout { 1500 };
    // The worker view is as old as the start of the last completed watch: without changes in the fleet, up to twice this timeout plus
    // two slow responses of the store. This must stay below the maximum age at which tasks are started, 1.3 s.
    constexpr Milliseconds workerWatchTimeout { 400 };
    constexpr Milliseconds housekeepingInterval { 1000 };
    // A leader that is killed leaves counts out that are younger than this.
    constexpr Milliseconds sizeReportInterval { 2000 };
    // Time without an answer to the watch of the jobs, or to a read that the term begins with, after which the leader gives up its term, so
    // that cancelled tasks are stopped by another one. Without changes, a watch is answered after its timeout.
    constexpr Milliseconds readSilenceLimit { 2700 };
    // The same for the listings that the term begins with, of which a page may need a second call.
    constexpr Milliseconds listSilenceLimit { 3500 };
    // Longer delays of the event loop are logged, at most once in each interval.
    constexpr Milliseconds reportedLoopDelay { 250 };
    constexpr Milliseconds loopDelayReportInterval { 1000 };

} // namespace

Coordinator::Coordinator(boost::asio::io_context& loop, const PlatformServices& services, const Formats& formats,
    const OperatorView& operators, Leadership& leadership, scheduler::Parameters parameters, Revision term)
    : m_loop(loop)
    , m_store(services.store)
    , m_calls(services.calls)
    , m_inventory(services.inventory)
    , m_adviser(services.adviser)
    , m_clock(services.clock)
    , m_metrics(services.metrics)
    , m_formats(formats)
    , m_operators(operators)
    , m_leadership(leadership)
    , m_sizes(services.metrics, term)
    , m_tickTimer(loop)
{
    m_state.parameters = parameters;
    m_state.term = term;
    m_state.termStartedAt = m_clock.now();
    m_jobsCurrentAt = m_state.termStartedAt;
    const std::vector<StoreCondition> isOfThisTerm { { Leadership::termKey, term } };
    m_pendingRecord = std::make_shared<PublishedRecord>(m_store, pendingKey, isOfThisTerm);
    m_interferenceRecord = std::make_shared<PublishedRecord>(m_store, interferenceKey, isOfThisTerm);
    m_fenceRecord = std::make_shared<PublishedRecord>(m_store, fenceKey, isOfThisTerm);
}

void Coordinator::start()
{
    const std::weak_ptr<Coordinator> weak = shared_from_this();
    WatchCallbacks jobCallbacks;
    jobCallbacks.onChange = [this](const auto& key, const auto& value, Revision revision) { onJobKey(key, value, revision); };
    jobCallbacks.onCurrent = [this](MonotonicTime at) {
        m_jobsCurrentAt = std::max(m_jobsCurrentAt, at);
        if (std::exchange(m_areJobsRead, true))
            return;
        m_progressAnsweredAt = m_clock.now();
        listProgress({});
    };
    jobCallbacks.onFailure = [this](StoreError error) {
        const auto age = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_jobsCurrentAt);
        logEvent(LogLevel::Info, "job_watch_failed",
            { { "reason", toString(error) }, { "jobs_age_ms", age.count() }, { "term", m_state.term } });
    };
    m_jobs = std::make_shared<PrefixWatcher>(m_loop, m_store, m_clock, jobPrefix, jobWatchTimeout, std::move(jobCallbacks));
    WatchCallbacks workerCallbacks;
    workerCallbacks.onChange = [this](const auto& key, const auto& value, Revision) { onWorkerKey(key, value); };
    workerCallbacks.onCurrent = [this](MonotonicTime at) {
        m_workersCurrentAt = std::max(m_workersCurrentAt, at);
        if (!std::exchange(m_areWorkersRead, true))
            beginScheduling();
    };
    workerCallbacks.onFailure = [this](StoreError error) {
        const auto age = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_workersCurrentAt);
        logEvent(LogLevel::Info, "worker_watch_failed",
            { { "reason", toString(error) }, { "workers_age_ms", age.count() }, { "term", m_state.term } });
    };
    m_workers
        = std::make_shared<PrefixWatcher>(m_loop, m_store, m_clock, m_formats.workerPrefix, workerWatchTimeout, std::move(workerCallbacks));
    m_calls.beginTerm(m_state.term);
    m_jobs->start();
    m_workers->start();
    readInterference();
    onOperatorChange();
    tick();
}

void Coordinator::stop()
{
    m_isStopped = true;
    if (m_isScheduling)
        m_sizes.publish(m_state);
    m_calls.endTerm();
    m_metrics.setIdleStandingTasks(0);
    m_metrics.setUnstoredCancellations(0);
    m_jobs->stop();
    m_workers->stop();
    m_tickTimer.cancel();
}

void Coordinator::onOperatorChange()
{
    const auto snapshot = m_operators.snapshot();
    m_state.closedDomains = snapshot->closedDomains;
    if (snapshot->configuration) {
        // Policies of removed queues are kept, since their accepted jobs continue.
        for (const auto& route : snapshot->configuration->routes)
            m_state.queues.insert_or_assign(makeQueueName(route), route.policy);
    }
    beginScheduling();
    requestSchedulingPass();
}

void Coordinator::onJobKey(const std::string& key, const std::optional<std::string>& value, Revision revision)
{
    const auto [id, isCancel] = parseJobKey(key);
    if (isCancel)
        return onCancelMarker(id, value, revision);
    // Only this leader removes jobs, so a removal needs no handling.
    if (!value)
        return;
    auto spec = decodeJob(*value);
    if (!spec) {
        logEvent(LogLevel::Warning, "job_unreadable", { { "key", key } });
        return;
    }
    if (!m_isScheduling) {
        m_storedJobs[id] = std::move(spec);
        return;
    }
    const auto* job = scheduler::addJob(m_state, std::move(spec), nullptr, {}, m_clock.now(), wallMs());
    if (job)
        logEvent(LogLevel::Info, "job_known",
            { { "job", id }, { "queue", job->queue }, { "steps", job->spec->steps.size() }, { "size", toString(job->size) },
                { "revision", revision }, { "age_ms", wallMs() - job->spec->accepted_at_ms } });
    if (const auto marker = m_unstoredCancels.take(id))
        applyCancel(id, *marker);
    requestSchedulingPass();
}

void Coordinator::onWorkerKey(const std::string& key, const std::optional<std::string>& value)
{
    const auto now = m_clock.now();
    const auto id = m_formats.parseWorkerId(key);
    if (!value) {
        scheduler::onWorkerUnlisted(m_state, id, now);
        logEvent(LogLevel::Info, "worker_unlisted", { { "worker", id } });
        return;
    }
    auto entry = m_formats.decodeWorker(key, *value);
    if (entry && !scheduler::isPlausible(entry->born, wallMs()))
        entry = makeUnexpected(FormatError::OutOfRange);
    if (!entry) {
        logEvent(LogLevel::Warning, "worker_entry_unreadable", { { "worker", id }, { "reason", toString(entry.error()) } });
        return scheduler::onWorkerEntryUnreadable(m_state, id);
    }
    scheduler::onWorkerListed(m_state, *entry, now, m_orders);
    logEvent(LogLevel::Debug, "worker_listed", { { "worker", id }, { "draining", entry->isDraining }, { "born", entry->born } });
    requestSchedulingPass();
}

void Coordinator::tick()
{
    if (m_isStopped)
        return;
    reportLoopDelay();
    checkJobsFollowed();
    if (!m_isStopped && !m_isScheduling)
        checkRecordsRead();
    if (m_isStopped)
        return;
    if (m_isScheduling) {
        scheduler::onTick(m_state, m_clock.now(), wallMs(), m_orders);
        readInventory();
        requestSchedulingPass();
    }
    m_tickDueAt = m_clock.now() + tickInterval;
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->tick();
    });
}

void Coordinator::checkJobsFollowed()
{
    const auto silence = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_jobs->answeredAt());
    if (silence >= (m_jobs->isListing() ? listSilenceLimit : readSilenceLimit))
        abandonIfServed(silence, AbandonReason::JobsNotFollowed);
}

void Coordinator::checkRecordsRead()
{
    const auto now = m_clock.now();
    auto answeredAt = now;
    if (!m_areWorkersRead)
        answeredAt = std::min(answeredAt, m_workers->answeredAt());
    if (m_areJobsRead && !m_isProgressRead)
        answeredAt = std::min(answeredAt, m_progressAnsweredAt);
    const auto snapshot = m_operators.snapshot();
    if (!snapshot->configuration)
        answeredAt = std::min(answeredAt, std::max(snapshot->confirmedAt, m_state.termStartedAt));
    const auto silence = std::chrono::duration_cast<Milliseconds>(now - answeredAt);
    if (silence >= listSilenceLimit)
        abandonIfServed(silence, AbandonReason::RecordsNotRead);
}

// While the store does not serve this node at all, the lease lapses, or no node could do better.
void Coordinator::abandonIfServed(Milliseconds silence, AbandonReason reason)
{
    if (!m_leadership.isServed())
        return;
    logEvent(LogLevel::Warning, toString(reason), { { "silence_ms", silence.count() }, { "term", m_state.term } });
    m_leadership.abandonTerm(reason);
}

void Coordinator::reportLoopDelay()
{
    const auto now = m_clock.now();
    if (!m_tickDueAt)
        return;
    const auto delay = std::chrono::duration_cast<Milliseconds>(now - *m_tickDueAt);
    m_metrics.observeLoopDelay(std::max(delay, Milliseconds(0)));
    if (delay < reportedLoopDelay || now - m_loopDelayReportedAt < loopDelayReportInterval)
        return;
    m_loopDelayReportedAt = now;
    const auto viewAge = std::chrono::duration_cast<Milliseconds>(now - m_workersCurrentAt);
    logEvent(LogLevel::Warning, "loop_delayed",
        { { "delay_ms", delay.count() }, { "workers_age_ms", viewAge.count() }, { "term", m_state.term } });
}

void Coordinator::requestSchedulingPass()
{
    if (!m_isScheduling || m_isStopped || std::exchange(m_isPassRequested, true))
        return;
    boost::asio::post(m_loop, [self = shared_from_this()] {
        self->m_isPassRequested = false;
        if (!self->m_isStopped)
            self->runSchedulingPass();
    });
}

void Coordinator::runSchedulingPass()
{
    const bool wasViewStale = std::exchange(m_state.isViewStale, !isViewFresh() || !mayExtendLeases());
    if (wasViewStale != m_state.isViewStale) {
        const auto age = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_workersCurrentAt);
        logEvent(LogLevel::Warning, m_state.isViewStale ? "starts_held" : "starts_released",
            { { "workers_age_ms", age.count() }, { "term", m_state.term } });
    }
    // Before the placement, which can take long enough for the view to become stale again.
    scheduler::sendRecordedStarts(m_state, m_clock.now(), m_orders);
    executeOrders();
    scheduler::advance(m_state, m_clock.now(), m_orders);
    executeOrders();
    commitDirtyJobs();
    commitFence();
    scheduler::retireJobs(m_state);
    if (m_clock.now() - m_housekeepingAt >= housekeepingInterval) {
        m_housekeepingAt = m_clock.now();
        publishPendingCounts();
        removeExpiredJobs();
        removeUnstoredCancels();
        storeInterference();
        m_metrics.setIdleStandingTasks(m_state.idleStandingTasks);
        m_metrics.setUnstoredCancellations(m_unstoredCancels.size());
        m_metrics.setWatchAge("jobs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_jobsCurrentAt));
        m_metrics.setWatchAge("workers", std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_workersCurrentAt));
    }
    if (m_clock.now() - m_sizesPublishedAt >= sizeReportInterval) {
        m_sizesPublishedAt = m_clock.now();
        m_sizes.publish(m_state);
    }
}

void Coordinator::executeOrders()
{
    for (const auto& order : std::exchange(m_orders, {}))
        std::visit([this](const auto& it) { execute(it); }, order);
}

bool Coordinator::mayExtendLeases() const { return m_clock.now() - m_leadership.confirmedAt() < m_state.parameters.storeSilenceLimit; }

// Without this check, a daemon that is short of CPU time or whose watch is stalled would start tasks on workers that have since announced
// that they are draining. A listing of the jobs that is not complete may show a job and not yet its cancellation.
bool Coordinator::isViewFresh() const { return !m_jobs->isListing() && viewTimeLeft() > Milliseconds(0); }

Milliseconds Coordinator::viewTimeLeft() const
{
    const auto staleAt = std::min(m_workersCurrentAt + m_state.parameters.workerViewLimit,
        m_operators.snapshot()->confirmedAt + m_state.parameters.operatorViewLimit);
    return std::chrono::duration_cast<Milliseconds>(staleAt - m_clock.now());
}

std::int64_t Coordinator::wallMs() const { return std::chrono::duration_cast<Milliseconds>(m_clock.wallNow().time_since_epoch()).count(); }

} // namespace kingcuploom::node
