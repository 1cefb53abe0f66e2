#include "requests/RequestRouter.h"

#include "base/Log.h"
#include "requests/CallMessages.h"
#include "schema/Guards.h"

#include <jansson.h>

#include <algorithm>
#include <random>

namespace kingcuploom::requests {

namespace {

    using schema::Outcome;
    using schema::RefusalReason;

    // One thread per slot in use: 65 executors of 8 slots when a single daemon is left.
    constexpr std::size_t maxDispatchThreads = 640;
    // Shards tried for one call, so that wrong figures cannot send it in circles.
    constexpr int maxRoutings = 3;
    // Room for the fields around the body in a frame.
    constexpr std::size_t frameReserve = 64 * 1024;
    constexpr Milliseconds statusTimeout { 200 };
    constexpr Milliseconds unroutableRetryAfter { 1000 };
    // Longer than any execution: a slot becomes free when the executor answers or ends the connection, not after a time.
    constexpr std::chrono::hours executionLimit { 24 };

    std::uint64_t drawSeed()
    {
        std::random_device device;
        return (std::uint64_t(device()) << 32) | device();
    }

    std::optional<int> parseActive(const std::string& body)
    {
        const std::unique_ptr<json_t, decltype(&json_decref)> root(json_loadb(body.data(), body.size(), 0, nullptr), &json_decref);
        const auto* active = json_object_get(root.get(), "active");
        if (!json_is_integer(active))
            return std::nullopt;
        return int(json_integer_value(active));
    }

} // namespace

RequestRouter::RequestRouter(const Surroundings& around, prometheus::Registry& registry)
    : m_around(around)
    , m_metrics(registry)
    , m_refusals(around.audit)
    , m_pools(around.settings)
    , m_forwards(drawSeed())
    , m_random(drawSeed())
    , m_threads(maxDispatchThreads)
{
    m_rerouteBudget.perMille = around.settings.retry_budget_per_mille;
}

bool RequestRouter::isKnown(const ServiceName& service) const
{
    if (m_around.config.snapshot()->services.contains(service))
        return true;
    // An executor without a declared service is served with the defaults, so that calls work before the first configuration is read.
    const auto targets = m_around.catalog.snapshot();
    return std::ranges::any_of(targets->vms,
        [&](const auto& vm) { return std::ranges::any_of(vm.second.executors, [&](const auto& it) { return it.service == service; }); });
}

std::vector<routing::ShardCandidate> RequestRouter::candidates(const ServiceName& service, bool withOwn)
{
    const auto table = m_index.table(m_around.catalog.snapshot(), m_around.config.snapshot());
    const auto entries = table->find(service);
    if (entries == table->end())
        return {};
    const auto own = m_pools.loadFigures(service);
    const DaemonId self(m_around.settings.daemon_id);
    const auto now = m_around.clock.now();
    std::vector<routing::ShardCandidate> result;
    for (const auto& entry : entries->second) {
        const auto owner = m_around.ownership.ownerOf(entry.shard);
        const bool isOwn = owner == self;
        if (!owner || (isOwn && !withOwn))
            continue;
        routing::ShardCandidate candidate { entry.shard, entry.domain, entry.slots, 0, 0, entry.isOutOfService, true };
        if (isOwn) {
            const auto figure = std::ranges::find(own, entry.shard.value(), &schema::LoadFigureT::shard);
            candidate.totalSlots = figure == own.end() ? 0 : figure->total_slots;
            candidate.freeSlots = figure == own.end() ? 0 : figure->free_slots;
            candidate.queued = figure == own.end() ? 0 : int(figure->queued);
        } else {
            candidate.isOwnerReachable = m_around.hub.status(*owner) == link::PeerStatus::Connected;
            const std::scoped_lock lock(m_mutex);
            routing::applyLoad(m_loads, service, candidate, now);
        }
        result.push_back(std::move(candidate));
    }
    return result;
}

std::optional<RequestRouter::Choice> RequestRouter::choose(const ServiceName& service, bool withOwn)
{
    const auto options = candidates(service, withOwn);
    const auto index = draw(options);
    if (!index)
        return std::nullopt;
    const auto& shard = options[*index].shard;
    const auto owner = m_around.ownership.ownerOf(shard);
    if (!owner)
        return std::nullopt;
    if (owner == DaemonId(m_around.settings.daemon_id))
        return Choice { shard, {} };
    return Choice { shard, *owner };
}

std::optional<std::size_t> RequestRouter::draw(const std::vector<routing::ShardCandidate>& options)
{
    const FailureDomain ownDomain(m_around.settings.failure_domain);
    const std::scoped_lock lock(m_mutex);
    return routing::chooseShard(options, ownDomain, m_random);
}

int RequestRouter::spareElsewhere(const ServiceName& service) { return routing::maxSpareSlots(candidates(service, false)); }

void RequestRouter::route(const CallPtr& call) { routeTo(call, true); }

void RequestRouter::routeTo(const CallPtr& call, bool withOwn)
{
    if (call->isAnswered)
        return;
    if (m_around.clock.now() >= call->deadline)
        return finish(call, makeDeadlinePassed(call->mayHaveRun));
    while (call->routings++ < maxRoutings) {
        const auto choice = choose(call->service, withOwn);
        if (!choice)
            break;
        if (choice->owner.empty())
            return admit(call);
        if (forward(call, *choice))
            return;
    }
    refuseUnroutable(call);
}

void RequestRouter::admit(const CallPtr& call)
{
    perform(m_pools.admit(call, spareElsewhere(call->service), m_around.clock.now()));
    // The caller may have gone away while the call was in no table.
    if (call->isAnswered)
        (void)m_pools.abandon(call, m_around.clock.now());
}

bool RequestRouter::forward(const CallPtr& call, const Choice& choice)
{
    auto frame = makeForward(*call, choice.shard, m_around.clock.now());
    frame.sequence = m_forwards.add(choice.owner, choice.shard, call);
    frame.ingress = m_forwards.ingress();
    frame.relays = call->relays;
    const auto sequence = frame.sequence;
    schema::LinkMessageT message;
    message.body.Set(std::move(frame));
    if (m_around.hub.send(choice.owner, message)) {
        countForward(call->service, choice.shard);
        // The caller may have gone away while the call was in no table.
        if (call->isAnswered) {
            if (const auto forwarded = m_forwards.take(sequence))
                sendAbandon(*forwarded);
        }
        return true;
    }
    // No byte was handed over, so another shard may be tried, unless the request was taken as lost in the meantime.
    return !m_forwards.take(sequence);
}

void RequestRouter::countForward(const ServiceName& service, const ShardId& shard)
{
    m_metrics.countForward();
    const std::scoped_lock lock(m_mutex);
    routing::countSent(m_loads, service, shard);
    routing::addTokens(m_rerouteBudget);
}

void RequestRouter::refuseUnroutable(const CallPtr& call)
{
    const auto reason = isKnown(call->service) ? RefusalReason::NoCapacity : RefusalReason::NoSuchService;
    finish(call, makeRefusal(reason, Outcome::NotRun, unroutableRetryAfter));
}

void RequestRouter::receiveForward(const link::Peer& from, const schema::ForwardT& forward)
{
    if (!m_pools.isFirst({ forward.ingress, forward.sequence }))
        return m_metrics.countRepeatedForward();
    const auto call = fromForward(forward, m_around.clock.now());
    call->reply
        = [this, daemon = from.daemon, key = call->origin, service = call->service, deadline = call->deadline](schema::AnswerT&& answer) {
              answer.ingress = key.ingress;
              answer.sequence = key.sequence;
              for (auto& figure : m_pools.loadFigures(service))
                  answer.loads.push_back(std::make_unique<schema::LoadFigureT>(std::move(figure)));
              schema::LinkMessageT message;
              message.body.Set(std::move(answer));
              if (!m_around.hub.send(daemon, message) && !m_unsent.add(daemon, std::move(message), deadline))
                  m_metrics.countLostAnswer();
          };
    if (m_isDraining)
        return finish(call, makeRefusal(RefusalReason::Leaving, Outcome::NotRun, unroutableRetryAfter));
    admit(call);
}

void RequestRouter::receiveAnswer(const DaemonId& from, const schema::AnswerT& answer)
{
    receiveLoads(answer.loads);
    const bool isMatched = schema::isGuardOn(m_around.settings, schema::Guard::AnswerMatching);
    const auto forwarded = isMatched ? m_forwards.take({ answer.ingress, answer.sequence }, from) : m_forwards.takeOldest(from);
    if (!forwarded)
        return m_metrics.countLateAnswer();
    const auto& call = forwarded->call;
    // Only an idempotent request goes to a second owner: the rule for the others must not depend on what the first one reports.
    const bool isMisdirected = answer.refusal == RefusalReason::NotOwner || answer.refusal == RefusalReason::Leaving;
    if (call->isIdempotent && answer.outcome == Outcome::NotRun && isMisdirected)
        return route(call);
    finish(call, schema::AnswerT(answer));
}

void RequestRouter::receiveLoads(const std::vector<std::unique_ptr<schema::LoadFigureT>>& figures)
{
    const auto now = m_around.clock.now();
    const std::scoped_lock lock(m_mutex);
    for (const auto& figure : figures) {
        if (figure)
            routing::observe(m_loads, *figure, now);
    }
}

void RequestRouter::refreshTargets()
{
    const auto owned = m_around.ownership.ownedShards();
    const auto targets = m_around.catalog.snapshot();
    const auto config = m_around.config.snapshot();
    const auto spare = [this](const ServiceName& service) { return spareElsewhere(service); };
    perform(m_pools.refresh(owned, *targets, *config, spare, m_around.clock.now()));
    for (const auto& [url, limit] : m_pools.takeLoweredLimits())
        m_around.client.limitConnections(url, std::size_t(limit));
}

void RequestRouter::queryUncertainTargets()
{
    for (const auto& [service, target] : m_pools.beginQueries())
        m_threads.post([this, service = service, target = target] { queryStatus(service, target); });
}

void RequestRouter::queryStatus(const ServiceName& service, const DispatchTarget& target)
{
    const auto response = m_around.client.call(target.url, { "GET", "/status", {}, {} }, { .timeout = statusTimeout });
    m_pools.endQuery(service, target.executor);
    if (!response || response->status != 200)
        return;
    if (const auto active = parseActive(response->body))
        perform(m_pools.observeStatus(service, target.executor, *active, m_around.clock.now()));
}

void RequestRouter::giveUp(const CallPtr& call)
{
    const bool wasWaiting = m_pools.abandon(call, m_around.clock.now()) != nullptr;
    finish(call, makeDeadlinePassed(!wasWaiting || call->mayHaveRun));
}

void RequestRouter::perform(const std::vector<Step>& steps)
{
    std::ranges::for_each(steps, [this](const Step& step) { execute(step); });
}

void RequestRouter::execute(const Step& step)
{
    if (const auto* ejected = std::get_if<routing::Ejected>(&step.action))
        return reportEjection(ServiceName(), *ejected);
    if (!step.call)
        return;
    if (const auto* dispatch = std::get_if<routing::Dispatch>(&step.action))
        return m_threads.post([this, step, id = dispatch->id] { run(step, id); });
    if (const auto* refused = std::get_if<routing::Refuse>(&step.action))
        return refuse(step.call, *refused);
    if (std::holds_alternative<routing::Relay>(step.action)) {
        m_metrics.countRelay();
        ++step.call->relays;
        return routeTo(step.call, false);
    }
    finish(step.call, std::move(step.call->result));
}

void RequestRouter::refuse(const CallPtr& call, const routing::Refuse& refused)
{
    // A retry that finds no place: the caller gets the result of the execution before.
    if (call->result.status != 0)
        return finish(call, std::move(call->result));
    finish(call, makeRefusal(refused.reason, Outcome::NotRun, refused.retryAfter));
}

// Immediately before the send: the decision was taken under an ownership that may have ended since.
bool RequestRouter::mayDispatch(const ServiceName& service, const DispatchTarget& target) const
{
    const auto owned = m_around.ownership.owned(target.shard);
    if (!owned || owned->epoch != target.epoch || owned->isDraining)
        return false;
    const auto targets = m_around.catalog.snapshot();
    const auto vm = targets->vms.find(target.vm);
    const bool isLeavingIgnored = !schema::isGuardOn(m_around.settings, schema::Guard::LeavingTargets);
    if (vm == targets->vms.end() || (vm->second.leaving && !isLeavingIgnored) || m_around.config.snapshot()->isOutOfService(target.domain))
        return false;
    const auto& executors = vm->second.executors;
    const auto executor = std::ranges::find(executors, target.executor, &ExecutorTarget::id);
    if (executor == executors.end())
        return false;
    if (!schema::isGuardOn(m_around.settings, schema::Guard::SlotLimit))
        return true;
    const int allowed = allowedSlots(owned->portion, *executor, int(m_around.settings.primary_share_per_mille));
    return m_pools.busy(service, target.executor) <= allowed;
}

routing::CallResult RequestRouter::attempt(const Step& step)
{
    // The caller has gone away, or the deadline has passed, before a byte was sent.
    if (step.call->isAnswered)
        return routing::CallResult::Recalled;
    if (mayDispatch(step.call->service, step.target)) {
        m_metrics.countDispatch(m_around.clock.now() - step.call->arrivedAt);
        return callTarget(step);
    }
    m_metrics.countRecall();
    refreshTargets();
    return routing::CallResult::Recalled;
}

void RequestRouter::run(const Step& step, routing::CallId id)
{
    const auto result = attempt(step);
    perform(m_pools.complete(step.call, id, result, m_around.clock.now()));
}

routing::CallResult RequestRouter::callTarget(const Step& step)
{
    auto& call = *step.call;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(call.deadline - m_around.clock.now());
    http::CallOptions options;
    options.timeout = executionLimit;
    options.maxConnections = std::size_t(std::max(1, step.target.allowed));
    options.connectTimeout = std::max(remaining, Milliseconds(1));
    options.isCancelled = [this, &call] { return m_isStopping && (call.isAnswered || m_around.clock.now() >= call.deadline); };
    options.maxResponseBytes = link::maxFrameBytes - frameReserve;
    options.reuse = call.isIdempotent ? http::ConnectionReuse::Allowed : http::ConnectionReuse::Forbidden;
    auto response = m_around.client.call(step.target.url, call.request, options);
    if (response) {
        const bool isFailure = isServerError(response->status) || m_around.clock.now() > call.deadline;
        call.mayHaveRun = true;
        call.result = makeAnswer(std::move(*response));
        return isFailure ? routing::CallResult::Failed : routing::CallResult::Succeeded;
    }
    const auto& error = response.error();
    const bool isNotSent = http::isNotSent(error.code);
    if (!isNotSent)
        call.mayHaveRun = true;
    call.result = makeFailure(error);
    logEvent(LogLevel::Debug, "execution_failed", { { "executor", step.target.executor }, { "detail", error.detail } });
    return isNotSent ? routing::CallResult::NotSent : routing::CallResult::Failed;
}

void RequestRouter::finish(const CallPtr& call, schema::AnswerT&& result)
{
    const bool isCertain = schema::isGuardOn(m_around.settings, schema::Guard::CertainNotRun);
    if (!isCertain && result.outcome == Outcome::Unknown)
        result.outcome = Outcome::NotRun;
    if (call->isAnswered)
        return;
    const bool hidesRun = result.outcome == Outcome::NotRun && call->mayHaveRun && isCertain;
    auto final = hidesRun ? makeUncertain(result) : std::move(result);
    const auto now = m_around.clock.now();
    if (final.refusal != RefusalReason::None)
        m_refusals.count(call->service, final.refusal, now);
    (void)answer(*call, std::move(final));
}

void RequestRouter::stop()
{
    m_isStopping = true;
    m_threads.stop();
}

void RequestRouter::reportEjection(const ServiceName&, const routing::Ejected& ejected)
{
    m_metrics.countEjection();
    schema::AuditEventT event;
    event.object = "executor/" + ejected.executor.value();
    event.action = "executor_ejected";
    event.reason = ejected.isSlow ? "Slow" : "Failing";
    logEvent(LogLevel::Warning, event.action, { { "executor", ejected.executor }, { "reason", event.reason } });
    m_around.audit.record(std::move(event));
}

} // namespace kingcuploom::requests
