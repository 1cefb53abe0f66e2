#include "node/JobService.h"

#include "base/Log.h"
#include "node/Records.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    // The store limits the number of calls per second; one retry after this delay bridges a short peak.
    constexpr Milliseconds refusedRetryDelay { 60 };
    constexpr unsigned maxRefusals = 2;
    constexpr Milliseconds unansweredRetryDelay { 30 };
    // A job that was held longer has lost its leader to one of an earlier version, which never shows it. Several times the time for which
    // a start may be late, and longer than a time of day may be wrong.
    constexpr Milliseconds maxHeldTime { 60'000 };

    schema::JobState findShownState(const schema::GraphJobProgressT& progress, std::int64_t wallMs)
    {
        const bool isHeld = progress.held && wallMs - progress.ended_at_ms < maxHeldTime.count();
        return isHeld ? schema::JobState::Running : progress.state;
    }

    // Returns the outcome of a submission that conflicts with these items, if they explain the conflict.
    std::optional<SubmitOutcome> findOutcome(const GraphJobId& id, const std::vector<StoreItem>& current)
    {
        const auto isStored = [&](const std::string& key) { return std::ranges::find(current, key, &StoreItem::key) != current.end(); };
        if (isStored(jobKey(id)) || isStored(runKey(id)))
            return SubmitOutcome::Accepted;
        return isStored(cancelKey(id)) ? std::optional(SubmitOutcome::Cancelled) : std::nullopt;
    }

} // namespace

const char* toString(SubmitOutcome outcome)
{
    switch (outcome) {
    case SubmitOutcome::Accepted:
        return "accepted";
    case SubmitOutcome::NotAccepted:
        return "not_accepted";
    case SubmitOutcome::Cancelled:
        return "cancelled";
    case SubmitOutcome::Unknown:
        break;
    }
    return "unclear";
}

const char* toString(QueryError error) { return error == QueryError::NoSuchJob ? "no_such_job" : "store_unavailable"; }

struct JobService::Submission {
    GraphJobId id;
    Transaction transaction;
    MonotonicTime deadline;
    std::function<void(SubmitOutcome)> onDone;
    unsigned attempts = 0;
    unsigned refusals = 0;
    // An attempt had no response and may still take effect.
    bool isOutcomeUnknown = false;
};

JobService::JobService(boost::asio::io_context& loop, AsyncStore& store, const Clock& clock)
    : m_loop(loop)
    , m_store(store)
    , m_clock(clock)
    , m_cancellations(loop, store, clock)
{
}

template <typename T> T JobService::callOnLoop(Milliseconds timeout, T fallback, std::function<void(const std::function<void(T)>&)> start)
{
    const auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    boost::asio::post(
        m_loop, [start = std::move(start), promise] { start([promise](T result) { promise->set_value(std::move(result)); }); });
    return future.wait_for(timeout) == std::future_status::ready ? future.get() : fallback;
}

void JobService::scheduleRetry(Milliseconds delay, std::function<void()> retry)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, retry = std::move(retry)](const boost::system::error_code& error) {
        if (!error)
            retry();
    });
}

SubmitOutcome JobService::submit(const schema::GraphJobSpecT& spec, Milliseconds timeout)
{
    const GraphJobId id(spec.job);
    const auto submission = std::make_shared<Submission>();
    submission->id = id;
    // The conditions make the transaction idempotent: however often it is sent or delayed, only the first one creates the job, and none
    // after an answer to a cancellation of the job.
    submission->transaction.conditions = { { jobKey(id), {} }, { runKey(id), {} }, { cancelKey(id), {} } };
    submission->transaction.writes = { { jobKey(id), encodeJob(spec), {} } };
    submission->deadline = m_clock.now() + timeout;
    return callOnLoop<SubmitOutcome>(timeout, SubmitOutcome::Unknown, [this, submission](const std::function<void(SubmitOutcome)>& onDone) {
        submission->onDone = onDone;
        sendSubmission(submission);
    });
}

void JobService::sendSubmission(const std::shared_ptr<Submission>& submission)
{
    ++submission->attempts;
    m_store.commit(submission->transaction, [this, submission](const auto& result) { onSubmissionResult(submission, result); });
}

void JobService::onSubmissionResult(const std::shared_ptr<Submission>& submission, const Expected<Revision, TransactionFailure>& result)
{
    const auto settle = [&](SubmitOutcome outcome) {
        // The caller may have left by then, and may have cancelled the job meanwhile.
        if (submission->attempts > 1)
            logEvent(LogLevel::Info, "submission_settled",
                { { "job", submission->id }, { "outcome", toString(outcome) }, { "attempts", submission->attempts },
                    { "revision", result ? *result : Revision() } });
        submission->onDone(outcome);
    };
    if (result)
        return settle(SubmitOutcome::Accepted);
    if (result.error().error == StoreError::Conflict) {
        if (const auto outcome = findOutcome(submission->id, result.error().current))
            return settle(*outcome);
    }
    const bool isRefused = result.error().error == StoreError::Refused;
    submission->isOutcomeUnknown = submission->isOutcomeUnknown || !isRefused;
    submission->refusals += isRefused ? 1 : 0;
    if (!submission->isOutcomeUnknown && submission->refusals >= maxRefusals)
        return settle(SubmitOutcome::NotAccepted);
    if (m_clock.now() >= submission->deadline)
        return;
    scheduleRetry(isRefused ? refusedRetryDelay : unansweredRetryDelay, [this, submission] { sendSubmission(submission); });
}

void JobService::readProgress(
    const GraphJobId& id, const std::function<void(Expected<std::optional<schema::JobState>, QueryError>)>& onDone)
{
    m_store.get(runKey(id), [this, onDone](const Expected<std::optional<StoreItem>, StoreError>& item) {
        if (!item)
            return onDone(makeUnexpected(QueryError::StoreUnavailable));
        if (!*item)
            return onDone(std::optional<schema::JobState>());
        const auto progress = decodeProgress((*item)->value);
        if (!progress)
            return onDone(makeUnexpected(QueryError::StoreUnavailable));
        const auto wallMs = std::chrono::duration_cast<Milliseconds>(m_clock.wallNow().time_since_epoch()).count();
        onDone(std::optional(findShownState(*progress, wallMs)));
    });
}

// A job can start and end between the reads of its progress and of its key, and its end removes the key. The progress is therefore read
// again when the key is missing.
void JobService::readState(const GraphJobId& id, const std::function<void(Expected<schema::JobState, QueryError>)>& onDone)
{
    using Progress = Expected<std::optional<schema::JobState>, QueryError>;
    const auto reportState = [onDone](const Progress& progress) {
        if (!progress)
            return onDone(makeUnexpected(progress.error()));
        *progress ? onDone(**progress) : onDone(makeUnexpected(QueryError::NoSuchJob));
    };
    readProgress(id, [this, id, onDone, reportState](const Progress& progress) {
        if (!progress || *progress)
            return reportState(progress);
        m_store.get(jobKey(id), [this, id, onDone, reportState](const Expected<std::optional<StoreItem>, StoreError>& job) {
            if (!job)
                return onDone(makeUnexpected(QueryError::StoreUnavailable));
            if (*job)
                return onDone(schema::JobState::Queued);
            readProgress(id, reportState);
        });
    });
}

Expected<schema::JobState, QueryError> JobService::state(const GraphJobId& id, Milliseconds timeout)
{
    using Result = Expected<schema::JobState, QueryError>;
    return callOnLoop<Result>(timeout, makeUnexpected(QueryError::StoreUnavailable),
        [this, id](const std::function<void(Result)>& onDone) { readState(id, onDone); });
}

CancelOutcome JobService::cancel(const GraphJobId& id, Milliseconds timeout)
{
    return callOnLoop<CancelOutcome>(timeout, CancelOutcome::Unknown,
        [this, id, deadline = m_clock.now() + timeout](auto onDone) { m_cancellations.begin(id, deadline, std::move(onDone)); });
}

Expected<std::uint32_t, QueryError> JobService::pending(const scheduler::QueueName& queue, Milliseconds timeout)
{
    using Result = Expected<std::uint32_t, QueryError>;
    return callOnLoop<Result>(
        timeout, makeUnexpected(QueryError::StoreUnavailable), [this, queue](const std::function<void(Result)>& onDone) {
            m_store.get(pendingKey, [queue, onDone](const Expected<std::optional<StoreItem>, StoreError>& item) {
                if (!item)
                    return onDone(makeUnexpected(QueryError::StoreUnavailable));
                if (!*item)
                    return onDone(0U);
                const auto counts = decodeCounts((*item)->value);
                if (!counts)
                    return onDone(makeUnexpected(QueryError::StoreUnavailable));
                const auto it = std::ranges::find_if(counts->counts, [&](const auto& count) { return count->queue == queue.value(); });
                onDone(it == counts->counts.end() ? 0U : (*it)->pending);
            });
        });
}

} // namespace kingcuploom::node
