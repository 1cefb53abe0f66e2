#include "node/Cancellations.h"

#include "base/Log.h"
#include "node/Records.h"

#include <boost/asio/steady_timer.hpp>

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    // Delay before a repetition; doubled with each one.
    constexpr Milliseconds firstRetryDelay { 30 };
    constexpr Milliseconds maxRetryDelay { 480 };
    // Delay before a kept cancellation is tried again.
    constexpr Milliseconds keptRetryDelay { 500 };
    // A cancellation is kept for this time from its request on.
    constexpr Milliseconds maxKeptTime = std::chrono::minutes(10);
    constexpr std::size_t maxKept = 1000;

} // namespace

const char* toString(CancelOutcome outcome)
{
    switch (outcome) {
    case CancelOutcome::Cancelled:
        return "cancelled";
    case CancelOutcome::NoSuchJob:
        return "no_such_job";
    case CancelOutcome::Unknown:
        break;
    }
    return "unclear";
}

struct Cancellations::Cancellation {
    GraphJobId job;
    MonotonicTime begunAt;
    MonotonicTime deadline;
    Milliseconds retryDelay = firstRetryDelay;
    std::vector<Callback> callbacks;
    bool isKept = false;
};

Cancellations::Cancellations(boost::asio::io_context& loop, AsyncStore& store, const Clock& clock)
    : m_loop(loop)
    , m_store(store)
    , m_clock(clock)
    , m_keptTimer(loop)
{
}

void Cancellations::begin(const GraphJobId& job, MonotonicTime deadline, Callback callback)
{
    auto& cancellation = m_open[job];
    const bool isNew = !cancellation;
    if (isNew) {
        cancellation = std::make_shared<Cancellation>();
        cancellation->job = job;
        cancellation->begunAt = m_clock.now();
    }
    cancellation->deadline = std::max(cancellation->deadline, deadline);
    cancellation->callbacks.push_back(std::move(callback));
    if (isNew)
        readJob(cancellation);
    else if (cancellation->isKept)
        resume(cancellation);
}

void Cancellations::readJob(const Pointer& cancellation)
{
    const auto key = jobKey(cancellation->job);
    m_store.get(key, [this, cancellation, key](const Expected<std::optional<StoreItem>, StoreError>& job) {
        if (!job)
            return retry(cancellation);
        if (!*job)
            return readProgress(cancellation);
        writeMarker(cancellation, { { key, (*job)->revision } }, CancelOutcome::Cancelled, "marked");
    });
}

// There is no job: it has ended, was never accepted, or is about to be stored.
void Cancellations::readProgress(const Pointer& cancellation)
{
    const auto key = runKey(cancellation->job);
    m_store.get(key, [this, cancellation, key](const Expected<std::optional<StoreItem>, StoreError>& item) {
        if (!item)
            return retry(cancellation);
        if (!*item)
            return writeMarker(cancellation, { { jobKey(cancellation->job), {} }, { key, {} } }, CancelOutcome::NoSuchJob, "not_stored");
        const auto progress = decodeProgress((*item)->value);
        // A job that has not ended was stored after the first read.
        if (!progress || !scheduler::hasEnded(progress->state))
            return retry(cancellation);
        settle(cancellation, CancelOutcome::Cancelled, "ended", (*item)->revision);
    });
}

void Cancellations::writeMarker(
    const Pointer& cancellation, const std::vector<StoreCondition>& conditions, CancelOutcome outcome, const char* basis)
{
    Transaction transaction;
    transaction.conditions = conditions;
    const auto wallMs = std::chrono::duration_cast<Milliseconds>(m_clock.wallNow().time_since_epoch()).count();
    transaction.writes = { { cancelKey(cancellation->job), encodeCancelMarker(wallMs), {} } };
    m_store.commit(transaction, [this, cancellation, outcome, basis](const Expected<Revision, TransactionFailure>& result) {
        result ? settle(cancellation, outcome, basis, *result) : retry(cancellation);
    });
}

void Cancellations::retry(const Pointer& cancellation)
{
    if (cancellation->isKept) {
        // One that cannot be settled does not hold up the others.
        m_keptInFlight.reset();
        m_kept.push_back(cancellation);
        return retryKeptLater();
    }
    if (m_clock.now() >= cancellation->deadline)
        return keep(cancellation);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, cancellation->retryDelay);
    cancellation->retryDelay = std::min(cancellation->retryDelay * 2, maxRetryDelay);
    timer->async_wait([this, timer, cancellation](const boost::system::error_code& error) {
        if (!error)
            readJob(cancellation);
    });
}

void Cancellations::keep(const Pointer& cancellation)
{
    const bool isRoom = m_kept.size() < maxKept;
    logEvent(isRoom ? LogLevel::Info : LogLevel::Warning, isRoom ? "cancel_kept" : "cancel_dropped",
        { { "job", cancellation->job }, { "reason", "store_unavailable" }, { "kept", m_kept.size() } });
    if (!isRoom) {
        m_open.erase(cancellation->job);
        return;
    }
    cancellation->isKept = true;
    m_kept.push_back(cancellation);
    if (m_kept.size() == 1 && !m_keptInFlight)
        retryKeptLater();
}

void Cancellations::resume(const Pointer& cancellation)
{
    cancellation->isKept = false;
    cancellation->retryDelay = firstRetryDelay;
    if (m_keptInFlight == cancellation) {
        // The call that is under way goes on for the caller.
        m_keptInFlight.reset();
        return retryKeptLater();
    }
    std::erase(m_kept, cancellation);
    readJob(cancellation);
}

void Cancellations::retryKeptLater()
{
    m_keptTimer.expires_after(keptRetryDelay);
    m_keptTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            retryKept();
    });
}

void Cancellations::retryKept()
{
    std::erase_if(m_kept, [this](const Pointer& it) {
        const bool isTooOld = m_clock.now() - it->begunAt > maxKeptTime;
        if (isTooOld) {
            logEvent(LogLevel::Warning, "cancel_dropped", { { "job", it->job }, { "reason", "too_old" }, { "kept", m_kept.size() } });
            m_open.erase(it->job);
        }
        return isTooOld;
    });
    if (m_kept.empty() || m_keptInFlight)
        return;
    m_keptInFlight = m_kept.front();
    m_kept.pop_front();
    readJob(m_keptInFlight);
}

void Cancellations::settle(const Pointer& cancellation, CancelOutcome outcome, const char* basis, Revision revision)
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_clock.now() - cancellation->begunAt);
    logEvent(LogLevel::Info, "cancel_settled",
        { { "job", cancellation->job }, { "outcome", toString(outcome) }, { "basis", basis }, { "revision", revision },
            { "took_ms", elapsed.count() } });
    m_open.erase(cancellation->job);
    if (m_keptInFlight == cancellation) {
        m_keptInFlight.reset();
        retryKept();
    }
    for (const auto& callback : cancellation->callbacks)
        callback(outcome);
}

} // namespace kingcuploom::node
