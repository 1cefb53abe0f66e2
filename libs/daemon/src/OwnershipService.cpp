#include "daemon/OwnershipService.h"

#include "CallQueue.h"
#include "OwnershipExecutor.h"
#include "OwnershipMetrics.h"
#include "OwnershipSnapshot.h"
#include "OwnershipWatcher.h"
#include "base/Log.h"
#include "schema/Guards.h"

#include <algorithm>
#include <sstream>

namespace kingcuploom {

using namespace ownership;

namespace {

    // A quarter of the margin at most, so that an ordinary tick is never taken for a gap of the clock.
    constexpr Milliseconds maxTickInterval { 50 };
    constexpr Milliseconds metricsInterval { 1000 };
    // Renewals that wait for peers; a peer asks again when its request is dropped.
    constexpr std::size_t maxWaitingRelays = 64;

    ProcessId processOf(const link::Peer& peer) { return { peer.daemon, peer.incarnation }; }

    std::string auditFigures(const AuditOwner& change)
    {
        std::ostringstream out;
        out << "epoch=" << change.epoch << " owner=" << change.owner.id.daemon << " owner_incarnation=" << change.owner.id.incarnation;
        if (!change.predecessor.empty())
            out << " predecessor=" << change.predecessor.id.daemon << " predecessor_incarnation=" << change.predecessor.id.incarnation;
        if (!change.figures.empty())
            out << ' ' << change.figures;
        return out.str();
    }

    Timing timingOf(const schema::SettingsT& settings)
    {
        Timing timing;
        timing.lease = Milliseconds(settings.store_lease_ms);
        timing.margin = Milliseconds(settings.lease_margin_ms);
        timing.longestDeadline = Milliseconds(settings.max_deadline_ms);
        return timing;
    }

    bool changesOwner(const std::optional<ShardOwner>& before, const std::optional<ShardOwner>& after)
    {
        return !before || !after || before->owner != after->owner || before->epoch != after->epoch;
    }

} // namespace

struct OwnershipService::State {
    State(const schema::SettingsT&, const Clock&, store::Store&, link::LinkHub&, ShardRecords&, TargetCatalog&, AuditSink&,
        prometheus::Registry&);

    void start(const Address& linkAddress, const Address& httpAddress);
    void stop();

    // Decides on the event and carries out or queues what follows.
    void handle(const Event&);
    void publish(const Event&, const std::optional<ShardOwner>& before);
    void dispatch(const Action&);
    void call(CallQueue&, const Action&);
    void sendRelay(const RequestRelay&);
    void sendNotice(const SendNotice&);
    void record(const AuditOwner&);

    void registerHandlers();
    void takeRelayRequest(const link::Peer&, const schema::RelayRenewalT&);
    void takeStatus(const link::Peer&, link::PeerStatus);

    void runTicker();
    void tick();
    void followTargets();
    void followPeers();
    void updateMetrics();

    std::shared_ptr<const OwnershipSnapshot> read() const;
    // Reads the clock, notes a gap, and tells whether the lease is confirmed.
    bool isConfirmedNow(const OwnershipSnapshot&, MonotonicTime now);
    void noteReading(MonotonicTime now);

    const schema::SettingsT settings;
    const Clock& clock;
    store::Store& store;
    link::LinkHub& hub;
    ShardRecords& records;
    TargetCatalog& catalog;
    AuditSink& audit;
    OwnershipMetrics metrics;
    std::set<WorkPart> parts { WorkPart::Requests, WorkPart::Tasks };

    std::unique_ptr<OwnershipExecutor> executor;
    std::unique_ptr<OwnershipWatcher> watcher;
    std::atomic<bool> isRunning = false;
    std::atomic<bool> isPollQueued = false;
    CallQueue renewals;
    CallQueue work;
    std::thread ticker;

    // Used by the ticker only.
    std::shared_ptr<const TargetSnapshot> seenTargets;
    std::vector<Process> seenPeers;
    MonotonicTime nextMetricsAt {};

    std::atomic<MonotonicTime::rep> lastReading = 0;
    std::atomic<std::uint64_t> gapCount = 0;

    // Guards the decisions; no call to the store, a peer or the audit is made under it.
    mutable std::mutex mutex;
    std::condition_variable changed;
    ownership::State state;

    mutable std::mutex snapshotMutex;
    std::shared_ptr<const OwnershipSnapshot> snapshot = std::make_shared<OwnershipSnapshot>();
};

OwnershipService::State::State(const schema::SettingsT& given, const Clock& givenClock, store::Store& givenStore, link::LinkHub& givenHub,
    ShardRecords& givenRecords, TargetCatalog& givenCatalog, AuditSink& givenAudit, prometheus::Registry& registry)
    : settings(given)
    , clock(givenClock)
    , store(givenStore)
    , hub(givenHub)
    , records(givenRecords)
    , catalog(givenCatalog)
    , audit(givenAudit)
    , metrics(registry)
{
    registerHandlers();
}

void OwnershipService::State::registerHandlers()
{
    hub.onStatus([this](const link::Peer& peer, link::PeerStatus status) { takeStatus(peer, status); });
    hub.onMessage(schema::LinkBody::ShardNotice, [this](const link::Peer& from, const schema::LinkMessageT& message) {
        const auto& notice = *message.body.AsShardNotice();
        handle(NoticeReceived { processOf(from), ShardId(notice.shard), Epoch(notice.epoch), notice.released });
    });
    hub.onMessage(schema::LinkBody::RelayRenewal,
        [this](const link::Peer& from, const schema::LinkMessageT& message) { takeRelayRequest(from, *message.body.AsRelayRenewal()); });
    hub.onMessage(schema::LinkBody::RelayRenewalResult, [this](const link::Peer&, const schema::LinkMessageT& message) {
        const auto& result = *message.body.AsRelayRenewalResult();
        handle(RelayAnswered { result.sequence, result.renewed });
    });
}

void OwnershipService::State::takeStatus(const link::Peer& peer, link::PeerStatus status)
{
    if (status == link::PeerStatus::Refused || status == link::PeerStatus::Replaced)
        handle(ProcessGone { processOf(peer) });
    else
        handle(PeerReachable { processOf(peer), status == link::PeerStatus::Connected });
}

void OwnershipService::State::takeRelayRequest(const link::Peer& from, const schema::RelayRenewalT& request)
{
    if (!isRunning)
        return;
    const auto relay = [this, from, request] {
        schema::RelayRenewalResultT result;
        result.sequence = request.sequence;
        result.renewed = store.keepAlive(LeaseId(request.lease)).has_value();
        metrics.countRelayForPeer();
        schema::LinkMessageT message;
        message.body.Set(result);
        (void)hub.send(from.daemon, message);
    };
    renewals.post(relay, maxWaitingRelays);
}

void OwnershipService::State::start(const Address& linkAddress, const Address& httpAddress)
{
    const Process self { { DaemonId(settings.daemon_id), hub.incarnation() }, linkAddress };
    const FailureDomain domain(settings.failure_domain);
    {
        const std::scoped_lock lock(mutex);
        state.self = self;
        state.domain = domain;
        state.timing = timingOf(settings);
        state.random = Random(self.id.incarnation.value());
        state.parts = parts;
        if (!schema::isGuardOn(settings, schema::Guard::PortionSplit))
            state.disabledGuards = { Guard::ShrinkUnconfirmed, Guard::ReserveOnly };
    }
    executor = std::make_unique<OwnershipExecutor>(
        OwnershipExecutor::Identity { self, domain, httpAddress }, Milliseconds(settings.store_lease_ms), clock, store, records);
    watcher = std::make_unique<OwnershipWatcher>(
        clock, store, records, self.id.incarnation.value(), [this](const Event& event) { handle(event); });
    isRunning = true;
    renewals.start();
    work.start();
    ticker = std::thread([this] { runTicker(); });
}

void OwnershipService::State::stop()
{
    if (!isRunning.exchange(false))
        return;
    changed.notify_all();
    ticker.join();
    renewals.stop();
    work.stop();
    watcher->stop();
    std::optional<LeaseId> lease;
    {
        const std::scoped_lock lock(mutex);
        // Otherwise the shards are in use until peers see that this process is gone, so the lease is left to lapse.
        if (hasLeft(state))
            lease = state.lease.lease;
        state.lease = {};
        state.shards.clear();
    }
    {
        const std::scoped_lock lock(snapshotMutex);
        snapshot = std::make_shared<OwnershipSnapshot>();
    }
    if (lease)
        (void)store.revokeLease(*lease);
}

void OwnershipService::State::handle(const Event& event)
{
    if (!isRunning)
        return;
    metrics.countLeaseEvent(event);
    Actions actions;
    {
        const std::scoped_lock lock(mutex);
        const auto now = clock.now();
        noteReading(now);
        const auto* seen = std::get_if<ShardSeen>(&event);
        const auto before = seen ? state.shards[seen->shard].record : std::nullopt;
        actions = decide(state, event, now);
        publish(event, before);
    }
    std::ranges::for_each(actions, [this](const Action& action) { dispatch(action); });
}

void OwnershipService::State::publish(const Event& event, const std::optional<ShardOwner>& before)
{
    // Group commits of other daemons change nothing that readers see.
    if (const auto* seen = std::get_if<ShardSeen>(&event)) {
        const auto& shard = state.shards[seen->shard];
        if (!shard.holding && !changesOwner(before, shard.record))
            return;
    }
    auto next = std::make_shared<const OwnershipSnapshot>(makeSnapshot(state, gapCount));
    if (next->hasLeft)
        changed.notify_all();
    const std::scoped_lock lock(snapshotMutex);
    snapshot = std::move(next);
}

std::shared_ptr<const OwnershipSnapshot> OwnershipService::State::read() const
{
    const std::scoped_lock lock(snapshotMutex);
    return snapshot;
}

void OwnershipService::State::noteReading(MonotonicTime now)
{
    const auto reading = now.time_since_epoch().count();
    auto last = lastReading.load();
    const auto margin = std::chrono::duration_cast<MonotonicTime::duration>(Milliseconds(settings.lease_margin_ms)).count();
    // The gap is noted before the reading, so that no other reader can see the new reading without the gap.
    if (last != 0 && reading - last > margin) {
        ++gapCount;
        metrics.countClockGap();
    }
    while (last < reading && !lastReading.compare_exchange_weak(last, reading)) { }
}

bool OwnershipService::State::isConfirmedNow(const OwnershipSnapshot& current, MonotonicTime now)
{
    noteReading(now);
    return current.handledGaps == gapCount && now < current.confirmedUntil;
}

void OwnershipService::State::dispatch(const Action& action)
{
    if (std::holds_alternative<GrantLease>(action) || std::holds_alternative<RenewLease>(action)
        || std::holds_alternative<RegisterMember>(action))
        call(renewals, action);
    else if (const auto* relay = std::get_if<RequestRelay>(&action))
        sendRelay(*relay);
    else if (const auto* notice = std::get_if<SendNotice>(&action))
        sendNotice(*notice);
    else if (const auto* change = std::get_if<AuditOwner>(&action))
        record(*change);
    else
        call(work, action);
}

void OwnershipService::State::call(CallQueue& queue, const Action& action)
{
    queue.post([this, action] {
        const auto events = executor->execute(action);
        std::ranges::for_each(events, [this](const Event& event) { handle(event); });
    });
}

void OwnershipService::State::sendRelay(const RequestRelay& action)
{
    schema::RelayRenewalT request;
    request.sequence = action.sequence;
    request.lease = action.lease.value();
    schema::LinkMessageT message;
    message.body.Set(request);
    (void)hub.send(action.peer, message);
}

void OwnershipService::State::sendNotice(const SendNotice& action)
{
    schema::ShardNoticeT notice;
    notice.shard = action.shard.value();
    notice.epoch = action.epoch.value();
    notice.released = action.released;
    schema::LinkMessageT message;
    message.body.Set(std::move(notice));
    // A notice that is not sent is repeated, or the watch tells the same.
    (void)hub.send(action.peer, message);
}

void OwnershipService::State::record(const AuditOwner& change)
{
    const auto figures = auditFigures(change);
    logEvent(LogLevel::Info, "owner_change",
        { { "shard", change.shard }, { "reason", ownership::toString(change.change) }, { "figures", figures } });
    metrics.countChange(change.change);
    schema::AuditEventT event;
    event.actor = "daemon/" + settings.daemon_id;
    event.object = "shard/" + change.shard.value();
    event.action = "owner_change";
    event.reason = ownership::toString(change.change);
    event.figures = figures;
    audit.record(std::move(event));
}

void OwnershipService::State::runTicker()
{
    const auto interval = std::min(maxTickInterval, Milliseconds(settings.lease_margin_ms) / 4);
    while (isRunning) {
        tick();
        std::unique_lock lock(mutex);
        changed.wait_for(lock, interval, [this] { return !isRunning; });
    }
}

void OwnershipService::State::tick()
{
    followTargets();
    handle(Tick {});
    followPeers();
    if (!isPollQueued.exchange(true)) {
        work.post([this] {
            isPollQueued = false;
            watcher->poll();
        });
    }
    if (clock.now() >= nextMetricsAt) {
        nextMetricsAt = clock.now() + metricsInterval;
        updateMetrics();
    }
}

void OwnershipService::State::followTargets()
{
    const auto targets = catalog.snapshot();
    if (targets == seenTargets)
        return;
    seenTargets = targets;
    TargetsListed event;
    std::ranges::transform(targets->shards, std::inserter(event.shards, event.shards.end()), [](const auto& entry) { return entry.first; });
    handle(event);
    handle(DaemonsGone { targets->goneDaemons });
}

void OwnershipService::State::followPeers()
{
    std::vector<Process> processes;
    {
        const std::scoped_lock lock(mutex);
        processes = observedProcesses(state);
    }
    if (processes == seenPeers)
        return;
    seenPeers = processes;
    std::vector<link::Peer> peers;
    std::ranges::transform(processes, std::back_inserter(peers), [](const Process& process) {
        return link::Peer { process.id.daemon, process.id.incarnation, process.linkAddress };
    });
    hub.setPeers(peers);
}

void OwnershipService::State::updateMetrics()
{
    const auto current = read();
    const auto now = clock.now();
    const bool isConfirmed = isConfirmedNow(*current, now);
    std::map<Portion, int> counts;
    for (const auto& [id, entry] : current->owned)
        ++counts[ownedAt(entry, isConfirmed, now).portion];
    metrics.setPortions(counts);
    metrics.setMembers(current->members.size());
    metrics.setLinks(hub.statistics());
}

OwnershipService::OwnershipService(const schema::SettingsT& settings, const Clock& clock, store::Store& store, link::LinkHub& hub,
    ShardRecords& records, TargetCatalog& catalog, AuditSink& audit, prometheus::Registry& registry)
    : m_state(std::make_unique<State>(settings, clock, store, hub, records, catalog, audit, registry))
{
}

OwnershipService::~OwnershipService() { stop(); }

void OwnershipService::setReportingParts(std::set<WorkPart> parts) { m_state->parts = std::move(parts); }

void OwnershipService::start(const Address& linkAddress, const Address& httpAddress) { m_state->start(linkAddress, httpAddress); }

void OwnershipService::beginLeaving() { m_state->handle(LeaveRequested {}); }

bool OwnershipService::waitUntilLeft(Milliseconds limit)
{
    std::unique_lock lock(m_state->mutex);
    return m_state->changed.wait_for(lock, limit, [this] { return hasLeft(m_state->state); });
}

void OwnershipService::stop() { m_state->stop(); }

void OwnershipService::reportFinished(const ShardId& shard, Epoch epoch, WorkPart part)
{
    m_state->handle(WorkFinished { shard, epoch, part });
}

std::vector<OwnedShard> OwnershipService::ownedShards() const
{
    const auto snapshot = m_state->read();
    const auto now = m_state->clock.now();
    const bool isConfirmed = m_state->isConfirmedNow(*snapshot, now);
    std::vector<OwnedShard> result;
    std::ranges::transform(
        snapshot->owned, std::back_inserter(result), [&](const auto& entry) { return ownedAt(entry.second, isConfirmed, now); });
    return result;
}

std::optional<OwnedShard> OwnershipService::owned(const ShardId& shard) const
{
    const auto snapshot = m_state->read();
    const auto now = m_state->clock.now();
    const bool isConfirmed = m_state->isConfirmedNow(*snapshot, now);
    const auto it = snapshot->owned.find(shard);
    if (it == snapshot->owned.end())
        return std::nullopt;
    return ownedAt(it->second, isConfirmed, now);
}

std::optional<DaemonId> OwnershipService::ownerOf(const ShardId& shard) const
{
    const auto snapshot = m_state->read();
    const auto it = snapshot->owners.find(shard);
    return it == snapshot->owners.end() ? std::nullopt : std::optional(it->second);
}

std::vector<MemberView> OwnershipService::members() const { return m_state->read()->members; }

bool OwnershipService::isLeaving() const { return m_state->read()->isLeaving; }

bool OwnershipService::hasJoined() const { return m_state->read()->hasJoined; }

} // namespace kingcuploom
