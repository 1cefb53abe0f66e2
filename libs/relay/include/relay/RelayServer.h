#pragma once

#include "node/WorkerCalls.h"
#include "relay/RelayTransport.h"
#include "relay/RunList.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace kingcuploom::relay {

// Carries out the orders of a leader at workers and returns their results. Decides nothing: orders that have expired or belong to an
// earlier term are not sent, and after a loss of this node the leader sends its orders another way. Runs on the event loop's thread.
class RelayServer {
public:
    RelayServer(boost::asio::io_context&, const Clock&, node::WorkerCalls&, RelayTransport&);

    void onOrders(const link::Peer& from, const schema::RelayOrdersT&);

private:
    struct ReportedRuns {
        std::uint64_t order = 0;
        RunList runs;
    };
    // Orders of one leader over one connection.
    struct Session {
        link::Peer leader;
        std::uint64_t number = 0;
        Revision term;
        std::map<std::uint32_t, node::WorkerTarget> workers;
        std::map<std::uint32_t, std::string> payloads;
        // Last list of runs that was returned for each worker.
        std::map<std::uint32_t, ReportedRuns> reported;
        schema::RelayResultsT results;
        // Time at which the results are to be sent; empty if there are none.
        std::optional<MonotonicTime> flushAt;
        std::size_t openOrders = 0;
    };
    using SessionPointer = std::shared_ptr<Session>;

    void beginSession(const link::Peer& from, const schema::RelayOrdersT&);
    void refuse(const link::Peer& from, const schema::RelayOrdersT&, const char* reason);
    void learnNumbers(const schema::RelayOrdersT&);
    void start(const schema::RelayStartT&);
    void stop(const schema::RelayStopT&);
    void pace(const schema::RelayPaceT&);
    void poll(const SessionPointer&, const schema::RelayPoll&, MonotonicTime waitUntil);
    void onReport(const SessionPointer&, const schema::RelayPoll&, MonotonicTime waitUntil,
        const Expected<scheduler::PollReport, scheduler::PollFailure>&);
    void addOutcome(const SessionPointer&, std::uint64_t order, schema::RelayResult);
    void addReport(const SessionPointer&, const schema::RelayPoll&, const scheduler::PollReport&);
    void addFailedReport(const SessionPointer&, std::uint64_t order, schema::RelayResult);
    void scheduleFlush(const SessionPointer&, Milliseconds delay);
    void flush(const SessionPointer&);
    const node::WorkerTarget* findTarget(std::uint32_t number) const;
    bool isExpired(std::int64_t sendBeforeMs) const { return clockMs() > sendBeforeMs; }
    std::int64_t clockMs() const;

    boost::asio::io_context& m_loop;
    const Clock& m_clock;
    node::WorkerCalls& m_calls;
    RelayTransport& m_transport;
    SessionPointer m_session;
    Revision m_highestTerm;
};

} // namespace kingcuploom::relay
