#include "relay/RelayedCalls.h"

#include "PayloadLimit.h"
#include "ResultCodes.h"
#include "base/Log.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace kingcuploom::relay {

namespace {

    using scheduler::PollFailure;
    using scheduler::PollReport;
    using scheduler::StartResult;
    using scheduler::StopResult;
    using schema::RelayResult;

    // Time that a relay takes at most for a command, or for a poll in addition to its wait, with the way there and back.
    constexpr Milliseconds commandTimeout { 800 };
    constexpr Milliseconds pollTimeout { 1000 };
    // Stops, paces and polls are not sent by a relay that reads them later than this.
    constexpr Milliseconds orderLifetime { 1000 };
    // A relay that has not answered gets no orders for this time.
    constexpr Milliseconds avoidTime { 2000 };
    // Time for which a worker is reached another way after its relay had no answer of it.
    constexpr Milliseconds otherWayTime { 10'000 };
    constexpr Milliseconds sweepInterval { 25 };
    bool isComplete(const schema::RelayResultsT& results)
    {
        return std::ranges::all_of(results.reports, [](const auto& row) { return row != nullptr; });
    }

} // namespace

RelayedCalls::RelayedCalls(
    boost::asio::io_context& loop, const Clock& clock, node::WorkerCalls& direct, RelayTransport& transport, RelayedCallsSettings settings)
    : m_loop(loop)
    , m_clock(clock)
    , m_direct(direct)
    , m_transport(transport)
    , m_settings(std::move(settings))
    , m_sweepTimer(loop)
    , m_nextSession(m_settings.firstSession)
{
}

void RelayedCalls::beginTerm(Revision term)
{
    m_term = term;
    m_routes.clear();
    m_workerCounts.clear();
    m_knownRuns.clear();
    connectRelays();
    if (m_settings.onTerm)
        m_settings.onTerm(true);
}

void RelayedCalls::endTerm()
{
    m_term.reset();
    for (auto& [node, relay] : m_relays)
        failSession(relay);
    connectRelays();
    if (m_settings.onTerm)
        m_settings.onTerm(false);
}

void RelayedCalls::setMembers(const std::vector<Member>& members)
{
    m_members = members;
    std::erase_if(m_members, [&](const Member& it) { return it.node == m_settings.self; });
    ++m_generation;
    connectRelays();
}

// Connects to all members, whether or not the fleet is large enough for relays, so that they can be used at once when it grows.
void RelayedCalls::connectRelays()
{
    std::vector<link::Peer> peers;
    if (m_term)
        std::ranges::transform(m_members, std::back_inserter(peers), [](const Member& it) {
            return link::Peer { it.node, it.incarnation, it.address };
        });
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        if (std::ranges::find(peers, it->second.peer) != peers.end()) {
            ++it;
            continue;
        }
        failSession(it->second);
        it = m_relays.erase(it);
    }
    for (const auto& peer : peers)
        m_relays.try_emplace(peer.daemon, Relay { peer });
    for (const auto& it : m_members) {
        const auto relay = m_relays.find(it.node);
        if (relay == m_relays.end())
            continue;
        relay->second.takesWorkerFences = it.takesWorkerFences;
        relay->second.takesStartFences = it.takesStartFences;
    }
    m_transport.setRelays(peers);
}

void RelayedCalls::onStatus(const link::Peer& peer, link::PeerStatus status)
{
    const auto it = m_relays.find(peer.daemon);
    if (it == m_relays.end() || it->second.peer != peer || !m_term)
        return;
    failSession(it->second);
    if (status == link::PeerStatus::Connected)
        beginSession(it->second);
}

// The first message carries no orders; its results show the relay's clock, without which no order can be given an expiry.
void RelayedCalls::beginSession(Relay& relay)
{
    relay.session = m_nextSession++;
    relay.clock.reset();
    relay.workers.clear();
    relay.payloads.clear();
    relay.batch = {};
    relay.batchOrders.clear();
    sendBatch(relay);
}

void RelayedCalls::failSession(Relay& relay)
{
    relay.session = 0;
    relay.clock.reset();
    relay.batch = {};
    const auto unsent = std::exchange(relay.batchOrders, {});
    struct Failed {
        Pending pending;
        bool wasSent = false;
    };
    std::vector<Failed> failed;
    std::erase_if(m_pending, [&](auto& entry) {
        if (entry.second.relay != relay.peer.daemon)
            return false;
        const bool wasSent = std::ranges::find(unsent, entry.first) == unsent.end();
        failed.push_back({ std::move(entry.second), wasSent });
        return true;
    });
    for (auto& it : failed)
        boost::asio::post(m_loop, [it = std::move(it)] { fail(it.pending, it.wasSent); });
}

void RelayedCalls::fail(const Pending& pending, bool wasSent)
{
    if (const auto* onStart = std::get_if<StartCallback>(&pending.callback))
        return (*onStart)(wasSent ? StartResult::NoAnswer : StartResult::RelayLost);
    if (const auto* onStop = std::get_if<StopCallback>(&pending.callback))
        return (*onStop)(StopResult::NoAnswer);
    if (const auto* onPoll = std::get_if<PollCallback>(&pending.callback))
        return (*onPoll)(makeUnexpected(PollFailure::NoAnswer));
    std::get<PaceCallback>(pending.callback)(false);
}

void RelayedCalls::avoid(Relay& relay, const char* reason)
{
    const auto now = m_clock.now();
    if (relay.avoidUntil <= now)
        logEvent(LogLevel::Warning, "relay_avoided", { { "relay", relay.peer.daemon }, { "reason", reason } });
    relay.avoidUntil = now + avoidTime;
}

bool RelayedCalls::isUsable(const Relay& relay) const
{
    return relay.session != 0 && relay.clock && relay.avoidUntil <= m_clock.now() && m_transport.isConnected(relay.peer.daemon);
}

RelayedCalls::Route& RelayedCalls::updateRoute(const node::WorkerTarget& target)
{
    auto& route = m_routes[target.id];
    const bool isNew = route.generation == 0;
    if (isNew || route.domain != target.domain) {
        if (!isNew)
            --m_workerCounts[route.domain];
        ++m_workerCounts[target.domain];
        route.domain = target.domain;
        ++m_generation;
    }
    if (route.generation != m_generation) {
        route.generation = m_generation;
        route.ranked = rankRelays(target.id, selectRelays(m_members, target.domain, m_workerCounts[target.domain]));
    }
    if (route.failedWays > 0 && route.resetAt <= m_clock.now())
        route.failedWays = 0;
    return route;
}

RelayedCalls::Relay* RelayedCalls::findRelay(const node::WorkerTarget& target)
{
    const auto& route = updateRoute(target);
    if (!needsRelays(m_routes.size(), m_settings.linkMbps))
        return nullptr;
    // The ways are the relays in order, then the direct one.
    const auto ways = route.ranked.size() + 1;
    for (std::size_t i = route.failedWays % ways; i < route.ranked.size(); ++i) {
        const auto it = m_relays.find(route.ranked[i]);
        if (it != m_relays.end() && isUsable(it->second) && (it->second.takesWorkerFences || !hasOwnFence(target)))
            return &it->second;
    }
    return nullptr;
}

std::uint64_t RelayedCalls::addOrder(Relay& relay, const node::WorkerTarget& target, Milliseconds timeout, Callback callback)
{
    const auto order = m_nextOrder++;
    m_pending.emplace(order, Pending { relay.peer.daemon, relay.session, target.id, m_clock.now() + timeout, std::move(callback) });
    relay.batchOrders.push_back(order);
    scheduleFlush();
    armSweep();
    return order;
}

std::uint32_t RelayedCalls::numberOf(Relay& relay, const node::WorkerTarget& target)
{
    auto& known = relay.workers[{ target.id, target.address }];
    if (known.number != 0 && known.fence == target.fence)
        return known.number;
    known = { m_nextNumber++, target.fence };
    auto row = std::make_unique<schema::RelayWorkerT>();
    row->number = known.number;
    row->id = target.id.value();
    row->address = target.address.value();
    row->fence = hasOwnFence(target) ? target.fence.value() : 0;
    relay.batch.workers.push_back(std::move(row));
    return known.number;
}

bool RelayedCalls::needsHigherFence(const Relay& relay, const node::WorkerTarget& target)
{
    const auto known = relay.workers.find({ target.id, target.address });
    return known != relay.workers.end() && relay.takesStartFences && known->second.fence < target.fence;
}

RelayedCalls::Relay* RelayedCalls::findRelayForStart(const node::WorkerTarget& target)
{
    auto* relay = findRelay(target);
    if (!relay || !needsHigherFence(*relay, target) || relay->batch.polls.empty())
        return relay;
    sendBatch(*relay);
    return findRelay(target);
}

std::uint32_t RelayedCalls::numberOf(Relay& relay, const scheduler::GraphJobId& job, const std::string& payload)
{
    const auto [it, isNew] = relay.payloads.try_emplace(job, m_nextNumber);
    if (!isNew)
        return it->second;
    auto row = std::make_unique<schema::RelayPayloadT>();
    row->number = m_nextNumber++;
    row->text = payload;
    relay.batch.payloads.push_back(std::move(row));
    return it->second;
}

// The reading is older than its arrival, so the result is earlier than the relay's clock will show by the delay of one message.
std::int64_t RelayedCalls::relayClockAfter(const Relay& relay, Milliseconds span) const
{
    return (*relay.clock + std::chrono::duration_cast<Milliseconds>(m_clock.now() - relay.clockAt) + span).count();
}

void RelayedCalls::start(const node::WorkerTarget& target, const node::StartMessage& message, StartCallback callback)
{
    auto* relay = findRelayForStart(target);
    if (!relay)
        return m_direct.start(target, message, std::move(callback));
    auto row = std::make_unique<schema::RelayStartT>();
    // The relay keeps the worker's number, and with it the base of the differences in its reports.
    if (needsHigherFence(*relay, target))
        row->fence = (relay->workers.at({ target.id, target.address }).fence = target.fence).value();
    row->worker = numberOf(*relay, target);
    row->name = std::make_unique<schema::RelayRunNameT>(makeRunName(message.run));
    row->payload = numberOf(*relay, message.run.task.job, message.payload);
    row->checkpoint = message.checkpoint;
    row->ticket = message.ticket;
    row->lease_until_ms = message.leaseUntilMs;
    row->repeat = message.isRepeat;
    row->send_before_ms = relayClockAfter(*relay, message.maxSendDelay.value_or(orderLifetime));
    row->order = addOrder(*relay, target, commandTimeout, std::move(callback));
    relay->batch.starts.push_back(std::move(row));
}

void RelayedCalls::stop(const node::WorkerTarget& target, const scheduler::RunRef& run, Revision fence, StopCallback callback)
{
    auto* relay = findRelay(target);
    if (!relay)
        return m_direct.stop(target, run, fence, std::move(callback));
    auto row = std::make_unique<schema::RelayStopT>();
    row->worker = numberOf(*relay, target);
    row->name = std::make_unique<schema::RelayRunNameT>(makeRunName(run));
    row->order = addOrder(*relay, target, commandTimeout, std::move(callback));
    relay->batch.stops.push_back(std::move(row));
}

void RelayedCalls::pace(const node::WorkerTarget& target, const scheduler::RunRef& run, int percent, Revision fence, PaceCallback callback)
{
    auto* relay = findRelay(target);
    if (!relay)
        return m_direct.pace(target, run, percent, fence, std::move(callback));
    auto row = std::make_unique<schema::RelayPaceT>();
    row->worker = numberOf(*relay, target);
    row->name = std::make_unique<schema::RelayRunNameT>(makeRunName(run));
    row->percent = static_cast<std::uint32_t>(std::max(percent, 0));
    row->order = addOrder(*relay, target, commandTimeout, std::move(callback));
    relay->batch.paces.push_back(std::move(row));
}

void RelayedCalls::poll(const node::WorkerTarget& target, const node::PollMessage& message, PollCallback callback)
{
    auto* relay = findRelay(target);
    if (!relay)
        return m_direct.poll(target, message, std::move(callback));
    const auto worker = numberOf(*relay, target);
    const auto known = m_knownRuns.find(target.id);
    const bool hasBase = known != m_knownRuns.end() && known->second.session == relay->session;
    const auto order = addOrder(*relay, target, message.wait + pollTimeout, std::move(callback));
    relay->batch.polls.emplace_back(order, hasBase ? known->second.order : 0, message.acknowledgedEnd.value(), message.knownEnd.value(),
        message.leaseUntilMs.value_or(0), worker, static_cast<std::uint32_t>(message.wait.count()), message.isRepeat);
}

void RelayedCalls::scheduleFlush()
{
    if (std::exchange(m_isFlushScheduled, true))
        return;
    boost::asio::post(m_loop, [this] { flush(); });
}

void RelayedCalls::flush()
{
    m_isFlushScheduled = false;
    for (auto& [node, relay] : m_relays) {
        if (!relay.batchOrders.empty())
            sendBatch(relay);
    }
}

void RelayedCalls::sendBatch(Relay& relay)
{
    if (!m_term)
        return failSession(relay);
    schema::LinkMessageT message;
    relay.batch.session = relay.session;
    relay.batch.term = m_term->value();
    relay.batch.send_before_ms = relay.clock ? relayClockAfter(relay, orderLifetime) : 0;
    message.body.Set(std::exchange(relay.batch, {}));
    if (!m_transport.send(relay.peer.daemon, message)) {
        avoid(relay, "not_connected");
        return failSession(relay);
    }
    relay.batchOrders.clear();
    // They are told again from here on. The relay keeps the newest ones.
    if (relay.payloads.size() >= maxKeptPayloads)
        relay.payloads.clear();
}

std::optional<RelayedCalls::Pending> RelayedCalls::takePending(std::uint64_t order, const DaemonId& from)
{
    const auto it = m_pending.find(order);
    if (it == m_pending.end() || it->second.relay != from)
        return std::nullopt;
    auto pending = std::move(it->second);
    m_pending.erase(it);
    return pending;
}

void RelayedCalls::onResults(const link::Peer& from, const schema::RelayResultsT& results)
{
    const auto it = m_relays.find(from.daemon);
    if (it == m_relays.end() || it->second.session != results.session || it->second.session == 0)
        return;
    if (!isComplete(results)) {
        logEvent(LogLevel::Warning, "relay_results_malformed", { { "relay", from.daemon } });
        return;
    }
    auto& relay = it->second;
    if (!relay.clock)
        logEvent(LogLevel::Info, "relay_joined", { { "relay", from.daemon }, { "session", relay.session } });
    relay.clock = Milliseconds(results.clock_ms);
    relay.clockAt = m_clock.now();
    for (const auto& outcome : results.outcomes)
        finishStartOrStop(outcome, from);
    for (const auto& report : results.reports)
        finishPoll(*report, from);
}

void RelayedCalls::finishStartOrStop(const schema::RelayOutcome& outcome, const link::Peer& from)
{
    const auto pending = takePending(outcome.order(), from.daemon);
    if (!pending)
        return;
    if (const auto* onStart = std::get_if<StartCallback>(&pending->callback))
        return (*onStart)(toStartResult(outcome.result()));
    if (const auto* onStop = std::get_if<StopCallback>(&pending->callback))
        return (*onStop)(toStopResult(outcome.result()));
    if (const auto* onPace = std::get_if<PaceCallback>(&pending->callback))
        return (*onPace)(outcome.result() == RelayResult::Accepted);
    std::get<PollCallback>(pending->callback)(makeUnexpected(PollFailure::NoAnswer));
}

void RelayedCalls::finishPoll(const schema::RelayReportT& row, const link::Peer& from)
{
    const auto pending = takePending(row.order, from.daemon);
    if (!pending)
        return;
    const auto* onPoll = std::get_if<PollCallback>(&pending->callback);
    if (!onPoll)
        return fail(*pending, true);
    auto report = decodeReport(row, *pending);
    if (!report && report.error() == PollFailure::NoAnswer) {
        auto& route = m_routes[pending->worker];
        ++route.failedWays;
        route.resetAt = m_clock.now() + otherWayTime;
    }
    (*onPoll)(std::move(report));
}

Expected<PollReport, PollFailure> RelayedCalls::decodeReport(const schema::RelayReportT& row, const Pending& pending)
{
    if (row.result != RelayResult::Accepted)
        return makeUnexpected(toPollFailure(row.result));
    auto& known = m_knownRuns[pending.worker];
    const bool isBaseKnown = row.base != 0 && known.session == pending.session && known.order == row.base;
    auto runs = decodeRuns(isBaseKnown ? known.runs : RunList(), row);
    auto ends = decodeEnds(row);
    if ((row.base != 0 && !isBaseKnown) || !runs || !ends) {
        logEvent(LogLevel::Warning, "relay_report_malformed",
            { { "relay", pending.relay }, { "worker", pending.worker }, { "base_known", isBaseKnown } });
        m_knownRuns.erase(pending.worker);
        return makeUnexpected(PollFailure::Refused);
    }
    known = { pending.session, row.order, *runs };
    return PollReport { scheduler::IncarnationTime(row.born_ms), row.clock_ms, std::move(*runs), std::move(*ends), row.ends_cut };
}

void RelayedCalls::armSweep()
{
    if (m_pending.empty() || std::exchange(m_isSweepArmed, true))
        return;
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        m_isSweepArmed = false;
        sweep();
        armSweep();
    });
}

void RelayedCalls::sweep()
{
    const auto now = m_clock.now();
    std::vector<Pending> late;
    std::erase_if(m_pending, [&](auto& entry) {
        if (entry.second.deadline > now)
            return false;
        late.push_back(std::move(entry.second));
        return true;
    });
    for (const auto& pending : late) {
        if (const auto it = m_relays.find(pending.relay); it != m_relays.end())
            avoid(it->second, "no_results");
        fail(pending, true);
    }
}

} // namespace kingcuploom::relay
