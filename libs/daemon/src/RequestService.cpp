#include "daemon/RequestService.h"

#include "requests/CallMessages.h"
#include "requests/RequestRouter.h"

#include <condition_variable>

namespace kingcuploom {

namespace {

    using requests::CallPtr;
    using schema::LinkBody;

    // Bounds how late a deadline or a lost owner is noticed.
    constexpr Milliseconds expiryInterval { 10 };
    // Ownership and the VM list change within hundreds of milliseconds; each dispatch checks them again.
    constexpr int roundsPerRefresh = 5;
    // The dispatch thread or the maintenance thread answers at the deadline; this is the last resort.
    constexpr Milliseconds giveUpGrace { 250 };
    constexpr Milliseconds drainInterval { 5 };
    // A caller that closes its connection has to be noticed within 200 ms.
    constexpr Milliseconds callerCheckInterval { 50 };
    // Not a status of RFC 9110: usual in logs for a caller that closed its connection. It reaches nobody but the trace.
    constexpr int callerGoneStatus = 499;

    // Holds the answer for the thread that waits in handleCall().
    struct Waiter {
        std::mutex mutex;
        std::condition_variable wake;
        std::optional<schema::AnswerT> answer;

        void set(schema::AnswerT&& value)
        {
            const std::scoped_lock lock(mutex);
            answer = std::move(value);
            wake.notify_all();
        }
    };

    template <typename Body> auto bodyOf(const schema::LinkMessageT& message) { return static_cast<const Body*>(message.body.value); }

} // namespace

struct RequestService::State {
    State(const requests::Surroundings& surroundings, prometheus::Registry& registry)
        : around(surroundings)
        , router(surroundings, registry)
        , exchange(surroundings.settings, surroundings.clock, surroundings.ownership, surroundings.hub)
    {
    }

    void registerHandlers();
    void maintain();
    void reportIdleShards();
    // Empty when there is no answer until then or the caller has gone away.
    std::optional<schema::AnswerT> waitFor(Waiter&, MonotonicTime until, const std::function<bool()>& isCallerGone) const;
    std::optional<schema::AnswerT> answerOf(const CallPtr&, Waiter&, const std::function<bool()>& isCallerGone);

    const requests::Surroundings around;
    requests::RequestRouter router;
    LoadExchange exchange;
    std::function<void(const ShardId&, Epoch)> shardIdle;
    // Shards with the epoch of the last round; used by the maintenance thread only.
    std::map<ShardId, Epoch> lastOwned;
    std::atomic<int> callers = 0;
    std::thread maintenance;
    std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
};

void RequestService::State::registerHandlers()
{
    around.hub.onMessage(LinkBody::Forward, [this](const link::Peer& from, const schema::LinkMessageT& message) {
        router.receiveForward(from, *bodyOf<schema::ForwardT>(message));
    });
    around.hub.onMessage(LinkBody::Answer, [this](const link::Peer& from, const schema::LinkMessageT& message) {
        router.receiveAnswer(from.daemon, *bodyOf<schema::AnswerT>(message));
    });
    around.hub.onMessage(LinkBody::Abandon,
        [this](const link::Peer&, const schema::LinkMessageT& message) { router.receiveAbandon(*bodyOf<schema::AbandonT>(message)); });
    exchange.onHeartbeat([this](const DaemonId&, const schema::HeartbeatT& heartbeat) { router.receiveLoads(heartbeat.loads); });
    exchange.sources().loads = [this] { return router.loadFigures(); };
}

// An execution is counted as busy before its dispatch checks the ownership. So once draining or loss is visible here and nothing is
// busy, a later dispatch fails its check.
void RequestService::State::reportIdleShards()
{
    const auto ownedShards = around.ownership.ownedShards();
    auto ended = std::exchange(lastOwned, {});
    for (const auto& owned : ownedShards) {
        lastOwned[owned.shard] = owned.epoch;
        ended.erase(owned.shard);
        if (owned.isDraining && shardIdle && router.busyIn(owned.shard) == 0)
            shardIdle(owned.shard, owned.epoch);
    }
    for (const auto& [shard, epoch] : ended) {
        if (router.busyIn(shard) > 0)
            lastOwned[shard] = epoch;
        else if (shardIdle)
            shardIdle(shard, epoch);
    }
}

void RequestService::State::maintain()
{
    std::unique_lock lock(mutex);
    for (int round = 0; !isStopping; ++round) {
        lock.unlock();
        if (round % roundsPerRefresh == 0)
            router.refreshTargets();
        router.queryUncertainTargets();
        router.expire();
        reportIdleShards();
        lock.lock();
        wake.wait_for(lock, expiryInterval, [this] { return isStopping; });
    }
}

std::optional<schema::AnswerT> RequestService::State::waitFor(
    Waiter& waiter, MonotonicTime until, const std::function<bool()>& isCallerGone) const
{
    std::unique_lock lock(waiter.mutex);
    while (!waiter.answer && around.clock.now() < until) {
        const bool isTimeout = waiter.wake.wait_for(lock, callerCheckInterval) == std::cv_status::timeout;
        if (isTimeout && !waiter.answer && isCallerGone && isCallerGone())
            break;
    }
    return std::exchange(waiter.answer, std::nullopt);
}

// Empty when the caller has gone away.
std::optional<schema::AnswerT> RequestService::State::answerOf(
    const CallPtr& call, Waiter& waiter, const std::function<bool()>& isCallerGone)
{
    auto answer = waitFor(waiter, call->deadline + giveUpGrace, isCallerGone);
    if (!answer && isCallerGone && isCallerGone()) {
        router.abandon(call);
        return std::nullopt;
    }
    if (!answer) {
        router.giveUp(call);
        answer = waitFor(waiter, call->deadline + 2 * giveUpGrace, nullptr);
    }
    return answer ? std::move(*answer) : requests::makeRefusal(schema::RefusalReason::TargetTimeout, schema::Outcome::Unknown);
}

RequestService::RequestService(const schema::SettingsT& settings, const Clock& clock, OwnershipView& ownership, ConfigView& config,
    TargetCatalog& catalog, link::LinkHub& hub, http::HttpClient& client, AuditSink& audit, prometheus::Registry& registry)
    : m_state(std::make_unique<State>(requests::Surroundings { settings, clock, ownership, config, catalog, hub, client, audit }, registry))
{
    m_state->registerHandlers();
}

RequestService::~RequestService() { stop(); }

LoadExchange& RequestService::loadExchange() { return m_state->exchange; }

void RequestService::onShardIdle(std::function<void(const ShardId&, Epoch)> listener) { m_state->shardIdle = std::move(listener); }

void RequestService::start()
{
    m_state->router.refreshTargets();
    m_state->maintenance = std::thread([this] { m_state->maintain(); });
    m_state->exchange.start();
}

void RequestService::stop()
{
    m_state->exchange.stop();
    {
        const std::scoped_lock lock(m_state->mutex);
        m_state->isStopping = true;
    }
    m_state->wake.notify_all();
    if (m_state->maintenance.joinable())
        m_state->maintenance.join();
    m_state->router.stop();
}

http::Response RequestService::handleCall(const http::Request& request)
{
    auto& router = m_state->router;
    const auto begin = m_state->around.clock.now();
    auto parsed = requests::parseCall(request, m_state->around.settings, *m_state->around.config.snapshot(), begin);
    if (!parsed)
        return requests::toResponse(parsed.error());
    const CallPtr call = *parsed;
    const auto waiter = std::make_shared<Waiter>();
    call->reply = [waiter](schema::AnswerT&& answer) { waiter->set(std::move(answer)); };
    // Counted before the check, so that drain() cannot miss a call that has passed it.
    ++m_state->callers;
    if (router.isDraining())
        call->reply(requests::makeRefusal(schema::RefusalReason::Leaving, schema::Outcome::NotRun, Milliseconds(1000)));
    else
        router.route(call);
    const auto answer = m_state->answerOf(call, *waiter, request.isCallerGone);
    --m_state->callers;
    if (!answer)
        return { callerGoneStatus, {}, {} };
    router.metrics().countAnswer(*answer, m_state->around.clock.now() - begin);
    return requests::toResponse(*answer);
}

bool RequestService::drain(Milliseconds limit)
{
    m_state->router.setDraining();
    const auto end = m_state->around.clock.now() + limit;
    while (inProgress() > 0 && m_state->around.clock.now() < end)
        std::this_thread::sleep_for(drainInterval);
    return inProgress() == 0;
}

std::size_t RequestService::inProgress() const { return m_state->router.inProgress() + std::size_t(m_state->callers.load()); }

} // namespace kingcuploom
