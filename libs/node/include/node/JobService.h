#pragma once

#include "node/Cancellations.h"
#include "node/OperatorView.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace kingcuploom::node {

enum class SubmitOutcome {
    // The job is stored, by this call or an earlier one.
    Accepted,
    // The job is not stored and will not be stored later.
    NotAccepted,
    // The job was cancelled before it was stored. It will not be stored, and no other submission of it until its marker is removed.
    Cancelled,
    // It is unknown whether the job was stored.
    Unknown,
};

enum class QueryError {
    NoSuchJob,
    StoreUnavailable,
};

const char* toString(SubmitOutcome);
const char* toString(QueryError);

// Accepts, cancels and queries jobs. Works on every node, since it uses the store only. The methods block until the result is available
// or the time has passed; they must not be called on the event loop's thread.
class JobService {
public:
    JobService(boost::asio::io_context&, AsyncStore&, const Clock&);

    SubmitOutcome submit(const schema::GraphJobSpecT&, Milliseconds timeout);
    CancelOutcome cancel(const scheduler::GraphJobId&, Milliseconds timeout);
    Expected<schema::JobState, QueryError> state(const scheduler::GraphJobId&, Milliseconds timeout);
    // Number of accepted jobs of the queue of which no task has started.
    Expected<std::uint32_t, QueryError> pending(const scheduler::QueueName&, Milliseconds timeout);

private:
    struct Submission;
    // Runs "start" on the event loop and waits for its result; returns "fallback" after a timeout.
    template <typename T> T callOnLoop(Milliseconds timeout, T fallback, std::function<void(const std::function<void(T)>&)> start);
    void sendSubmission(const std::shared_ptr<Submission>&);
    void onSubmissionResult(const std::shared_ptr<Submission>&, const Expected<Revision, TransactionFailure>&);
    void scheduleRetry(Milliseconds delay, std::function<void()>);
    // Passes the state to the callback, or no state if there is no progress record.
    void readProgress(const scheduler::GraphJobId&, const std::function<void(Expected<std::optional<schema::JobState>, QueryError>)>&);
    void readState(const scheduler::GraphJobId&, const std::function<void(Expected<schema::JobState, QueryError>)>&);

    boost::asio::io_context& m_loop;
    AsyncStore& m_store;
    const Clock& m_clock;
    Cancellations m_cancellations;
};

} // namespace kingcuploom::node
