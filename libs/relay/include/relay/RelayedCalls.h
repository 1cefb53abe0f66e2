#pragma once

#include "node/WorkerCalls.h"
#include "relay/RelayChoice.h"
#include "relay/RelayTransport.h"
#include "relay/RunList.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <variant>

namespace kingcuploom::relay {

struct RelayedCallsSettings {
    DaemonId self;
    double linkMbps = 0;
    // Distinguishes the sessions of this process from those of earlier ones.
    std::uint64_t firstSession = 1;
    // Called when a term of this node begins or ends.
    std::function<void(bool isLeading)> onTerm;
};

// Sends the orders of a leader to workers through relays near them, in one message for each relay and iteration of the event loop. Small
// fleets, and workers without a usable relay, are called directly. Runs on the event loop's thread.
class RelayedCalls final : public node::WorkerCalls {
public:
    RelayedCalls(boost::asio::io_context&, const Clock&, node::WorkerCalls& direct, RelayTransport&, RelayedCallsSettings);

    void beginTerm(Revision) override;
    void endTerm() override;
    void start(const node::WorkerTarget&, const node::StartMessage&, std::function<void(scheduler::StartResult)>) override;
    void stop(const node::WorkerTarget&, const scheduler::RunRef&, Revision fence, std::function<void(scheduler::StopResult)>) override;
    void poll(const node::WorkerTarget&, const node::PollMessage&,
        std::function<void(Expected<scheduler::PollReport, scheduler::PollFailure>)>) override;
    void pace(const node::WorkerTarget&, const scheduler::RunRef&, int percent, Revision fence, std::function<void(bool)>) override;

    // Sets the nodes that are registered as relays.
    void setMembers(const std::vector<Member>&);
    void onResults(const link::Peer& from, const schema::RelayResultsT&);
    void onStatus(const link::Peer&, link::PeerStatus);

private:
    using StartCallback = std::function<void(scheduler::StartResult)>;
    using StopCallback = std::function<void(scheduler::StopResult)>;
    using PollCallback = std::function<void(Expected<scheduler::PollReport, scheduler::PollFailure>)>;
    using PaceCallback = std::function<void(bool)>;
    using Callback = std::variant<StartCallback, StopCallback, PollCallback, PaceCallback>;

    struct KnownWorker {
        std::uint32_t number = 0;
        // Fencing token that the relay uses for the worker.
        Revision fence;
    };
    struct Relay {
        link::Peer peer;
        // 0 while there is no connection.
        std::uint64_t session = 0;
        // Last reading of the relay's clock and the local time of its arrival. Empty before the first results of a session.
        std::optional<Milliseconds> clock;
        MonotonicTime clockAt;
        // Workers that the relay has been told. A worker can come back at another address.
        std::map<std::pair<scheduler::WorkerId, Address>, KnownWorker> workers;
        std::map<scheduler::GraphJobId, std::uint32_t> payloads;
        schema::RelayOrdersT batch;
        // Orders in the batch.
        std::vector<std::uint64_t> batchOrders;
        MonotonicTime avoidUntil;
        bool takesWorkerFences = false;
        bool takesStartFences = false;
    };
    struct Pending {
        DaemonId relay;
        std::uint64_t session = 0;
        scheduler::WorkerId worker;
        MonotonicTime deadline;
        Callback callback;
    };
    // Last list of a worker's runs, and the order that returned it.
    struct KnownRuns {
        std::uint64_t session = 0;
        std::uint64_t order = 0;
        RunList runs;
    };
    struct Route {
        FailureDomain domain;
        // Usable in this order; empty: the worker is called directly.
        std::vector<DaemonId> ranked;
        unsigned generation = 0;
        // Number of ways that did not lead to the worker; the next one in the ranking is used until resetAt.
        std::size_t failedWays = 0;
        MonotonicTime resetAt;
    };

    // Returns true if the orders to the worker carry another fencing token than that of the term.
    bool hasOwnFence(const node::WorkerTarget& target) const { return m_term && target.fence > *m_term; }
    // Returns the relay for an order to the worker, or null if it is called directly.
    Relay* findRelay(const node::WorkerTarget&);
    Route& updateRoute(const node::WorkerTarget&);
    bool isUsable(const Relay&) const;
    std::uint64_t addOrder(Relay&, const node::WorkerTarget&, Milliseconds timeout, Callback);
    std::uint32_t numberOf(Relay&, const node::WorkerTarget&);
    // Returns true if the relay has to be told a higher fencing token of the worker, and can be told with a start.
    static bool needsHigherFence(const Relay&, const node::WorkerTarget&);
    // As findRelay, for a start. What the batch holds for the worker already is sent with its former fencing token.
    Relay* findRelayForStart(const node::WorkerTarget&);
    std::uint32_t numberOf(Relay&, const scheduler::GraphJobId&, const std::string& payload);
    std::int64_t relayClockAfter(const Relay&, Milliseconds) const;
    void beginSession(Relay&);
    void connectRelays();
    void scheduleFlush();
    void flush();
    void sendBatch(Relay&);
    void failSession(Relay&);
    void avoid(Relay&, const char* reason);
    void finishStartOrStop(const schema::RelayOutcome&, const link::Peer& from);
    void finishPoll(const schema::RelayReportT&, const link::Peer& from);
    Expected<scheduler::PollReport, scheduler::PollFailure> decodeReport(const schema::RelayReportT&, const Pending&);
    std::optional<Pending> takePending(std::uint64_t order, const DaemonId& from);
    static void fail(const Pending&, bool wasSent);
    void armSweep();
    void sweep();

    boost::asio::io_context& m_loop;
    const Clock& m_clock;
    node::WorkerCalls& m_direct;
    RelayTransport& m_transport;
    RelayedCallsSettings m_settings;
    boost::asio::steady_timer m_sweepTimer;
    std::optional<Revision> m_term;
    std::vector<Member> m_members;
    std::map<DaemonId, Relay> m_relays;
    std::map<scheduler::WorkerId, Route> m_routes;
    std::map<FailureDomain, std::size_t> m_workerCounts;
    std::map<scheduler::WorkerId, KnownRuns> m_knownRuns;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextSession;
    std::uint64_t m_nextOrder = 1;
    std::uint32_t m_nextNumber = 1;
    // Incremented when the members or the sizes of the domains change, so that routes are ranked again.
    unsigned m_generation = 1;
    bool m_isFlushScheduled = false;
    bool m_isSweepArmed = false;
};

} // namespace kingcuploom::relay
