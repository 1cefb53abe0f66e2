#pragma once

#include "node/AsyncStore.h"
#include "scheduler/Model.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace kingcuploom::node {

enum class CancelOutcome {
    Cancelled,
    // No job with this id is stored, and none that is submitted before the marker is removed will be.
    NoSuchJob,
    // The store did not respond in time.
    Unknown,
};

const char* toString(CancelOutcome);

// Carries out the cancellations that callers request from this node. Each is answered only with what one transaction has made certain: its
// marker is stored for the revision of the job that was read, or under the condition that there is no such job. The marker of a job that
// is not stored keeps a submission that is still under way from being stored, see JobService. A cancellation that the store did not
// carry out within its caller's deadline is kept, because the caller may not ask again. Runs on the event loop's thread.
class Cancellations {
public:
    using Callback = std::function<void(CancelOutcome)>;

    Cancellations(boost::asio::io_context&, AsyncStore&, const Clock&);

    // Calls back at most once, when the outcome is certain. Requests for the same job share one cancellation.
    void begin(const scheduler::GraphJobId&, MonotonicTime deadline, Callback);

private:
    struct Cancellation;
    using Pointer = std::shared_ptr<Cancellation>;

    void readJob(const Pointer&);
    void readProgress(const Pointer&);
    void writeMarker(const Pointer&, const std::vector<StoreCondition>&, CancelOutcome, const char* basis);
    void retry(const Pointer&);
    void keep(const Pointer&);
    // Takes the cancellation back from the kept ones, because a caller waits for it again.
    void resume(const Pointer&);
    void retryKeptLater();
    // One kept cancellation at a time, so that they take no connections from other calls while the store is silent.
    void retryKept();
    void settle(const Pointer&, CancelOutcome, const char* basis, Revision);

    boost::asio::io_context& m_loop;
    AsyncStore& m_store;
    const Clock& m_clock;
    // Cancellations without a certain outcome.
    std::map<scheduler::GraphJobId, Pointer> m_open;
    // Those of them whose callers' deadlines have passed, in the order in which they are tried.
    std::deque<Pointer> m_kept;
    // The kept one that is being tried.
    Pointer m_keptInFlight;
    boost::asio::steady_timer m_keptTimer;
};

} // namespace kingcuploom::node
