#include "relay/RelayServer.h"

#include "PayloadLimit.h"
#include "ResultCodes.h"
#include "base/Log.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace kingcuploom::relay {

namespace {

    using schema::RelayResult;

    // Delay between two polls of a worker that has no news; the same as that of a leader.
    constexpr Milliseconds repeatedPollDelay { 80 };
    // Delay of results that no decision waits for, so that they share a message with others.
    constexpr Milliseconds routineFlushDelay { 40 };
    // Delay before results are sent again while the connection to the leader is not up.
    constexpr Milliseconds flushRetryDelay { 20 };
    // Orders above this number are refused, which bounds the memory and the connections that a leader can use here.
    constexpr std::size_t maxOpenOrders = 4096;

    bool hasNews(const scheduler::PollReport& report, std::int64_t knownEnd)
    {
        return report.ends.empty() || report.ends.back().number.value() > knownEnd;
    }

    template <typename Row> bool isNull(const std::unique_ptr<Row>& row) { return row == nullptr; }

    // A vector of a message that passed the verification can still hold rows without content.
    bool isMalformed(const schema::RelayOrdersT& orders)
    {
        return std::ranges::any_of(orders.workers, isNull<schema::RelayWorkerT>)
            || std::ranges::any_of(orders.payloads, isNull<schema::RelayPayloadT>)
            || std::ranges::any_of(orders.starts, isNull<schema::RelayStartT>)
            || std::ranges::any_of(orders.stops, isNull<schema::RelayStopT>)
            || std::ranges::any_of(orders.paces, isNull<schema::RelayPaceT>);
    }

} // namespace

RelayServer::RelayServer(boost::asio::io_context& loop, const Clock& clock, node::WorkerCalls& calls, RelayTransport& transport)
    : m_loop(loop)
    , m_clock(clock)
    , m_calls(calls)
    , m_transport(transport)
{
}

std::int64_t RelayServer::clockMs() const { return std::chrono::duration_cast<Milliseconds>(m_clock.now().time_since_epoch()).count(); }

const node::WorkerTarget* RelayServer::findTarget(std::uint32_t number) const
{
    const auto it = m_session->workers.find(number);
    return it == m_session->workers.end() ? nullptr : &it->second;
}

void RelayServer::onOrders(const link::Peer& from, const schema::RelayOrdersT& orders)
{
    if (isMalformed(orders))
        return refuse(from, orders, "malformed");
    if (Revision(orders.term) < m_highestTerm)
        return refuse(from, orders, "earlier_term");
    m_highestTerm = Revision(orders.term);
    const bool isSameSession = m_session && m_session->number == orders.session && m_session->leader == from;
    const bool isFirst = !isSameSession;
    if (isFirst)
        beginSession(from, orders);
    learnNumbers(orders);
    for (const auto& order : orders.starts)
        start(*order);
    const bool areExpired = isExpired(orders.send_before_ms);
    for (const auto& order : orders.stops)
        areExpired ? addOutcome(m_session, order->order, RelayResult::Expired) : stop(*order);
    for (const auto& order : orders.paces)
        areExpired ? addOutcome(m_session, order->order, RelayResult::Expired) : pace(*order);
    for (const auto& order : orders.polls) {
        areExpired ? addFailedReport(m_session, order.order(), RelayResult::Expired)
                   : poll(m_session, order, m_clock.now() + Milliseconds(order.wait_ms()));
    }
    // Shows the leader this node's clock.
    if (isFirst)
        scheduleFlush(m_session, Milliseconds(0));
}

void RelayServer::beginSession(const link::Peer& from, const schema::RelayOrdersT& orders)
{
    m_session = std::make_shared<Session>();
    m_session->leader = from;
    m_session->number = orders.session;
    m_session->term = Revision(orders.term);
    m_transport.setLeader(from);
    logEvent(LogLevel::Info, "relay_session_began", { { "leader", from.daemon }, { "term", orders.term }, { "session", orders.session } });
}

// The sender counts the orders as unanswered.
void RelayServer::refuse(const link::Peer& from, const schema::RelayOrdersT& orders, const char* reason)
{
    logEvent(LogLevel::Warning, "relay_orders_refused",
        { { "leader", from.daemon }, { "reason", reason }, { "term", orders.term }, { "newest_term", m_highestTerm } });
}

void RelayServer::learnNumbers(const schema::RelayOrdersT& orders)
{
    for (const auto& row : orders.workers) {
        const auto fence = std::max(m_session->term, Revision(row->fence));
        m_session->workers[row->number] = { scheduler::WorkerId(row->id), Address(row->address), {}, fence };
    }
    for (const auto& row : orders.payloads)
        m_session->payloads[row->number] = row->text;
    // Numbers rise, and the leader tells a payload again after it has told as many others.
    while (m_session->payloads.size() > 2 * maxKeptPayloads)
        m_session->payloads.erase(m_session->payloads.begin());
}

void RelayServer::start(const schema::RelayStartT& order)
{
    if (const auto it = m_session->workers.find(order.worker); it != m_session->workers.end())
        it->second.fence = std::max(it->second.fence, Revision(order.fence));
    const auto* target = findTarget(order.worker);
    const auto payload = m_session->payloads.find(order.payload);
    if (!target || payload == m_session->payloads.end() || !order.name || order.name->job.empty())
        return addOutcome(m_session, order.order, RelayResult::UnknownNumber);
    if (isExpired(order.send_before_ms))
        return addOutcome(m_session, order.order, RelayResult::Expired);
    if (m_session->openOrders >= maxOpenOrders)
        return addOutcome(m_session, order.order, RelayResult::NotSent);
    node::StartMessage message { parseRunName(*order.name), payload->second, order.checkpoint, order.ticket, order.lease_until_ms,
        target->fence, order.repeat, Milliseconds(order.send_before_ms - clockMs()) };
    ++m_session->openOrders;
    m_calls.start(*target, message, [this, session = m_session, number = order.order](scheduler::StartResult result) {
        --session->openOrders;
        addOutcome(session, number, toRelayResult(result));
    });
}

void RelayServer::stop(const schema::RelayStopT& order)
{
    const auto* target = findTarget(order.worker);
    if (!target || !order.name || order.name->job.empty())
        return addOutcome(m_session, order.order, RelayResult::UnknownNumber);
    ++m_session->openOrders;
    m_calls.stop(
        *target, parseRunName(*order.name), target->fence, [this, session = m_session, number = order.order](scheduler::StopResult result) {
            --session->openOrders;
            addOutcome(session, number, toRelayResult(result));
        });
}

void RelayServer::pace(const schema::RelayPaceT& order)
{
    const auto* target = findTarget(order.worker);
    if (!target || !order.name || order.name->job.empty())
        return addOutcome(m_session, order.order, RelayResult::UnknownNumber);
    ++m_session->openOrders;
    m_calls.pace(*target, parseRunName(*order.name), static_cast<int>(order.percent), target->fence,
        [this, session = m_session, number = order.order](bool isAccepted) {
            --session->openOrders;
            addOutcome(session, number, isAccepted ? RelayResult::Accepted : RelayResult::Refused);
        });
}

void RelayServer::poll(const SessionPointer& session, const schema::RelayPoll& order, MonotonicTime waitUntil)
{
    const auto target = session->workers.find(order.worker());
    if (target == session->workers.end())
        return addFailedReport(session, order.order(), RelayResult::UnknownNumber);
    node::PollMessage message;
    if (order.lease_until_ms() != 0)
        message.leaseUntilMs = order.lease_until_ms();
    message.acknowledgedEnd = scheduler::EndNumber(order.acknowledged_end());
    message.wait = std::max(std::chrono::duration_cast<Milliseconds>(waitUntil - m_clock.now()), Milliseconds(0));
    message.fence = target->second.fence;
    message.isRepeat = order.repeat();
    ++session->openOrders;
    m_calls.poll(target->second, message, [this, session, order, waitUntil](const auto& report) {
        --session->openOrders;
        onReport(session, order, waitUntil, report);
    });
}

// A worker with ends that are not acknowledged answers at once. Until the leader acknowledges them, its answers are compared here.
void RelayServer::onReport(const SessionPointer& session, const schema::RelayPoll& order, MonotonicTime waitUntil,
    const Expected<scheduler::PollReport, scheduler::PollFailure>& report)
{
    if (!report)
        return addFailedReport(session, order.order(), toRelayResult(report.error()));
    const bool isWorthWaiting = m_clock.now() + 2 * repeatedPollDelay < waitUntil && session == m_session;
    if (hasNews(*report, order.known_end()) || !isWorthWaiting)
        return addReport(session, order, *report);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, repeatedPollDelay);
    // The worker has taken the acknowledgement; one that is carried out late must not follow a start that was sent after it.
    const schema::RelayPoll repeated(
        order.order(), order.base(), 0, order.known_end(), order.lease_until_ms(), order.worker(), order.wait_ms(), order.repeat());
    timer->async_wait([this, timer, session, repeated, waitUntil](const boost::system::error_code& ec) {
        if (!ec)
            poll(session, repeated, waitUntil);
    });
}

void RelayServer::addOutcome(const SessionPointer& session, std::uint64_t order, RelayResult result)
{
    session->results.outcomes.emplace_back(order, result);
    scheduleFlush(session, result == RelayResult::Accepted ? routineFlushDelay : Milliseconds(0));
}

void RelayServer::addReport(const SessionPointer& session, const schema::RelayPoll& order, const scheduler::PollReport& report)
{
    auto row = std::make_unique<schema::RelayReportT>();
    row->order = order.order();
    row->result = RelayResult::Accepted;
    row->born_ms = report.born.value();
    row->clock_ms = report.clockMs;
    auto& reported = session->reported[order.worker()];
    const bool isBaseKnown = order.base() != 0 && reported.order == order.base();
    row->base = isBaseKnown ? order.base() : 0;
    reported.runs = encodeRuns(isBaseKnown ? reported.runs : RunList(), report.running, *row);
    reported.order = order.order();
    encodeEnds(report.ends, *row);
    row->ends_cut = report.areEndsCut;
    session->results.reports.push_back(std::move(row));
    // Paces depend on the age of the readings.
    scheduleFlush(session, Milliseconds(0));
}

void RelayServer::addFailedReport(const SessionPointer& session, std::uint64_t order, RelayResult result)
{
    auto row = std::make_unique<schema::RelayReportT>();
    row->order = order;
    row->result = result;
    session->results.reports.push_back(std::move(row));
    scheduleFlush(session, Milliseconds(0));
}

// Results that the leader waits for go at the end of the iteration of the event loop, with all others that are ready.
void RelayServer::scheduleFlush(const SessionPointer& session, Milliseconds delay)
{
    const auto at = m_clock.now() + delay;
    if (session->flushAt && *session->flushAt <= at)
        return;
    session->flushAt = at;
    if (delay == Milliseconds(0))
        return boost::asio::post(m_loop, [this, session] { flush(session); });
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
    timer->async_wait([this, timer, session](const boost::system::error_code& ec) {
        if (!ec)
            flush(session);
    });
}

void RelayServer::flush(const SessionPointer& session)
{
    // A flush that was scheduled earlier may have sent all results.
    if (session != m_session || !session->flushAt)
        return;
    session->flushAt.reset();
    if (!m_transport.isConnected(session->leader.daemon))
        return scheduleFlush(session, flushRetryDelay);
    schema::LinkMessageT message;
    session->results.session = session->number;
    session->results.clock_ms = clockMs();
    message.body.Set(std::exchange(session->results, {}));
    if (!m_transport.send(session->leader.daemon, message))
        logEvent(LogLevel::Info, "relay_results_lost", { { "leader", session->leader.daemon }, { "session", session->number } });
}

} // namespace kingcuploom::relay
