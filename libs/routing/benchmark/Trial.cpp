#include "Arrivals.h"
#include "Summary.h"

#include "base/Rendezvous.h"
#include "routing/Admission.h"
#include "routing/LoadTable.h"

#include <algorithm>
#include <queue>

namespace kingcuploom::trial {

namespace {

    using routing::CallId;

    const ServiceName service("proof");
    constexpr double heartbeatMs = 100;
    constexpr double tickMs = 10;
    constexpr double failureMs = 3;

    MonotonicTime at(double ms) { return MonotonicTime(std::chrono::nanoseconds(std::int64_t((ms + 3'600'000) * 1e6))); }

    struct Daemon {
        FailureDomain domain;
        std::vector<ShardId> shards;
        routing::Pool pool;
        routing::LoadTable loads;
        Random random { 1 };
    };

    struct Executor {
        ExecutorId id;
        ShardId shard;
        FailureDomain domain;
        bool isFailing = false;
        int active = 0;
        int peak = 0;
    };

    enum class EventKind {
        IngressArrival,
        OwnerArrival,
        ExecutionEnded,
        AnswerReceived,
        ExecutorStart,
        ExecutorEnd,
        LoadsReceived,
        Heartbeat,
        Tick,
    };

    struct SimulationEvent {
        double ms = 0;
        std::uint64_t order = 0;
        EventKind kind = EventKind::Tick;
        int daemon = 0;
        std::size_t request = 0;
        int executor = 0;
        std::vector<schema::LoadFigureT> loads;

        bool operator>(const SimulationEvent& other) const { return std::tie(ms, order) > std::tie(other.ms, other.order); }
    };

    // Adds the time between construction and destruction to a sum, if enabled.
    class ScopedTimer {
    public:
        ScopedTimer(bool isOn, std::chrono::nanoseconds& sum)
            : m_sum(isOn ? &sum : nullptr)
            , m_begin(isOn ? std::chrono::steady_clock::now() : MonotonicTime())
        {
        }
        ~ScopedTimer()
        {
            if (m_sum)
                *m_sum += std::chrono::steady_clock::now() - m_begin;
        }
        ScopedTimer(const ScopedTimer&) = delete;
        ScopedTimer& operator=(const ScopedTimer&) = delete;

    private:
        std::chrono::nanoseconds* m_sum;
        MonotonicTime m_begin;
    };

    class Simulation {
    public:
        Simulation(const Site& site, const Variant& variant, const Load& load, std::uint64_t seed)
            : m_site(site)
            , m_variant(variant)
            , m_load(load)
            , m_random(seed)
        {
            assignExecutors();
            assignShards(seed);
            assignTargets();
            m_requests = drawRequests(site, variant, load, m_random);
            scheduleArrivals();
        }

        Result run()
        {
            for (int i = 0; i < int(m_daemons.size()); ++i) {
                schedule({ .ms = heartbeatMs * i / double(m_daemons.size()), .kind = EventKind::Heartbeat, .daemon = i });
                schedule({ .ms = tickMs * i / double(m_daemons.size()), .kind = EventKind::Tick, .daemon = i });
            }
            const double endMs = m_load.seconds * 1000 + 10'000;
            while (!m_events.empty() && m_events.top().ms < endMs) {
                const auto event = m_events.top();
                m_events.pop();
                m_nowMs = event.ms;
                handle(event);
            }
            auto result = summarize(m_requests, m_site, m_load);
            result.decisionUs = std::chrono::duration<double, std::micro>(m_decisionTime).count() / std::max(1.0, result.requests);
            result.ejections = m_ejections;
            result.peak = std::ranges::max(m_executors, {}, &Executor::peak).peak;
            return result;
        }

    private:
        bool isOnePool() const { return m_variant.arrangement == Arrangement::IdealSharedQueue; }
        bool isForwarding() const { return m_variant.arrangement == Arrangement::ShardOwners; }

        void assignExecutors()
        {
            std::vector<int> inDomain(std::size_t(m_site.domains));
            const auto failing = m_site.executors * int(m_variant.failingPerMille) / 1000;
            for (int i = 0; i < m_site.executors; ++i) {
                const auto domain = std::size_t(i % m_site.domains);
                const FailureDomain name("d" + std::to_string(domain));
                const Rack rack("r" + std::to_string(inDomain[domain]++ / m_site.vmsPerRack));
                m_executors.push_back({ ExecutorId("e" + std::to_string(i)), shardOf(name, rack), name, i < failing });
                m_executorIndex[m_executors.back().id] = i;
            }
        }

        void assignShards(std::uint64_t seed)
        {
            std::vector<DaemonId> names;
            const int count = isOnePool() ? 1 : m_site.daemons;
            for (int i = 0; i < count; ++i) {
                Daemon daemon { FailureDomain("d" + std::to_string(i % m_site.domains)) };
                daemon.random = Random(seed * 1000 + std::uint64_t(i));
                daemon.pool.limits.maxRelays = m_variant.maxRelays;
                daemon.pool.limits.maxEjectedPerMille = m_variant.maxEjectedPerMille;
                daemon.pool.queue.order = m_variant.order;
                daemon.pool.retryBudget = { m_variant.retryPerMille, m_variant.retryPerMille > 0 ? 10'000U : 0U };
                m_daemons.push_back(std::move(daemon));
                names.emplace_back("daemon" + std::to_string(i));
            }
            for (const auto& executor : m_executors) {
                const auto owner = rendezvousOwner(executor.shard.value(), eligibleOwners(names, executor.domain));
                const auto index = std::ranges::find(names, *owner) - names.begin();
                auto& shards = m_daemons[std::size_t(index)].shards;
                if (std::ranges::find(shards, executor.shard) == shards.end())
                    shards.push_back(executor.shard);
                m_shardOwners[executor.shard] = int(index);
                m_shardSlots[executor.shard] += m_site.slotsPerExecutor;
            }
        }

        std::vector<DaemonId> eligibleOwners(const std::vector<DaemonId>& names, const FailureDomain& domain) const
        {
            if (!m_variant.hasOwnersInDomain)
                return names;
            std::vector<DaemonId> result;
            for (std::size_t i = 0; i < names.size(); ++i) {
                if (m_daemons[i].domain == domain)
                    result.push_back(names[i]);
            }
            return result;
        }

        int getAllowedSlots(int daemon, int executor) const
        {
            const int owner = m_shardOwners.at(m_executors[std::size_t(executor)].shard);
            if (m_variant.arrangement != Arrangement::SlotSplit)
                return owner == daemon ? m_variant.allowedSlots : 0;
            const int base = m_site.slotsPerExecutor / m_site.daemons;
            const int rest = m_site.slotsPerExecutor % m_site.daemons;
            return base + ((daemon + executor) % m_site.daemons < rest ? 1 : 0);
        }

        void assignTargets()
        {
            for (int daemon = 0; daemon < int(m_daemons.size()); ++daemon) {
                routing::TargetsChange change;
                for (int i = 0; i < m_site.executors; ++i) {
                    const int allowed = getAllowedSlots(daemon, i);
                    const auto& executor = m_executors[std::size_t(i)];
                    if (allowed > 0)
                        change.targets.push_back({ executor.id, executor.shard, m_site.slotsPerExecutor, allowed });
                }
                (void)routing::decide(m_daemons[std::size_t(daemon)].pool, change, at(0));
            }
        }

        TeamName teamName(const Request& request) const
        {
            return TeamName("t" + std::to_string(m_variant.hasTeamQueues ? request.team : 0));
        }

        void scheduleArrivals()
        {
            for (std::size_t i = 0; i < m_requests.size(); ++i)
                schedule(
                    { .ms = m_requests[i].arrivedMs, .kind = EventKind::IngressArrival, .daemon = m_requests[i].ingress, .request = i });
        }

        void schedule(SimulationEvent event)
        {
            event.order = ++m_lastSequence;
            m_events.push(std::move(event));
        }

        double delay(const FailureDomain& a, const FailureDomain& b) const
        {
            return a == b ? m_site.withinDomainMs : m_site.betweenDomainsMs;
        }
        double delay(int a, int b) const { return a == b ? 0 : delay(daemon(a).domain, daemon(b).domain); }
        Daemon& daemon(int index) { return m_daemons[std::size_t(index)]; }
        const Daemon& daemon(int index) const { return m_daemons[std::size_t(index)]; }

        std::vector<schema::LoadFigureT> getLoadFigures(int index) const
        {
            std::vector<schema::LoadFigureT> figures;
            for (const auto& shard : daemon(index).shards) {
                figures.push_back(routing::computeLoadFigure(daemon(index).pool, shard));
                figures.back().service = service.value();
                figures.back().epoch = 1;
            }
            return figures;
        }

        std::vector<routing::ShardCandidate> candidates(int index, bool includesOwn) const
        {
            std::vector<routing::ShardCandidate> result;
            for (const auto& [shard, owner] : m_shardOwners) {
                routing::ShardCandidate candidate { shard, failureDomainOf(shard), m_shardSlots.at(shard) };
                if (owner == index && !includesOwn)
                    continue;
                if (owner == index) {
                    const auto figure = routing::computeLoadFigure(daemon(index).pool, shard);
                    candidate.freeSlots = figure.free_slots;
                    candidate.queued = int(figure.queued);
                } else {
                    routing::applyLoad(daemon(index).loads, service, candidate, at(m_nowMs));
                }
                result.push_back(candidate);
            }
            return result;
        }

        void route(int index, std::size_t request, bool includesOwn)
        {
            if (!isForwarding())
                return admit(index, request);
            const auto shard = pickShard(index, includesOwn);
            const int owner = m_shardOwners.at(shard);
            if (owner == index)
                return admit(index, request);
            routing::countSent(daemon(index).loads, service, shard);
            schedule({ .ms = m_nowMs + delay(index, owner), .kind = EventKind::OwnerArrival, .daemon = owner, .request = request });
        }

        ShardId pickShard(int index, bool includesOwn)
        {
            const ScopedTimer timer(m_variant.isTimed, m_decisionTime);
            const auto options = candidates(index, includesOwn);
            const auto chosen = routing::chooseShard(options, daemon(index).domain, daemon(index).random, m_variant.choice);
            return options[*chosen].shard;
        }

        std::vector<routing::Action> decide(int index, const routing::Event& event)
        {
            const ScopedTimer timer(m_variant.isTimed, m_decisionTime);
            return routing::decide(daemon(index).pool, event, at(m_nowMs));
        }

        int remoteSpareSlots(int index)
        {
            const ScopedTimer timer(m_variant.isTimed, m_decisionTime);
            return isForwarding() ? routing::maxSpareSlots(candidates(index, false)) : 0;
        }

        void admit(int index, std::size_t number)
        {
            const auto& request = m_requests[number];
            const int spare = remoteSpareSlots(index);
            const routing::QueuedCall call { CallId(number + 1), teamName(request), at(m_nowMs), at(request.deadlineMs), true, {} };
            perform(index, decide(index, routing::Arrival { call, request.relays, spare }));
        }

        void perform(int index, const std::vector<routing::Action>& actions)
        {
            for (const auto& action : actions)
                std::visit([&](const auto& it) { apply(index, it); }, action);
        }

        void apply(int index, const routing::Dispatch& action)
        {
            auto& request = m_requests[action.id.value() - 1];
            const int number = m_executorIndex.at(action.executor);
            const auto& executor = m_executors[std::size_t(number)];
            if (request.dispatchedMs < 0)
                request.dispatchedMs = m_nowMs;
            ++request.executions;
            const double hop = isOnePool() ? m_site.withinDomainMs : delay(daemon(index).domain, executor.domain);
            const double work = executor.isFailing ? failureMs : request.serviceMs;
            const double budget = request.deadlineMs - m_nowMs;
            schedule({ .ms = m_nowMs + hop, .kind = EventKind::ExecutorStart, .executor = number });
            schedule({ .ms = m_nowMs + hop + work, .kind = EventKind::ExecutorEnd, .executor = number });
            request.isFailed = executor.isFailing || 2 * hop + work > budget;
            // An execution that exceeds the deadline keeps its slot until it ends, because the executor still runs it.
            schedule({ .ms = m_nowMs + 2 * hop + work,
                .kind = EventKind::ExecutionEnded,
                .daemon = index,
                .request = action.id.value() - 1,
                .executor = number });
        }

        void apply(int index, const routing::Refuse& action) { answer(index, action.id, false); }
        void apply(int index, const routing::Deliver& action) { answer(index, action.id, true); }
        void apply(int, const routing::Ejected&) { ++m_ejections; }
        void apply(int index, const routing::Relay& action)
        {
            ++m_requests[action.id.value() - 1].relays;
            route(index, action.id.value() - 1, false);
        }

        void answer(int index, CallId id, bool isExecuted)
        {
            auto& request = m_requests[id.value() - 1];
            request.isRefused = !isExecuted;
            SimulationEvent event {
                .ms = m_nowMs + delay(index, request.ingress), .kind = EventKind::AnswerReceived, .daemon = request.ingress
            };
            event.request = id.value() - 1;
            if (m_variant.hasLoadsInAnswers && isForwarding() && index != request.ingress)
                event.loads = getLoadFigures(index);
            schedule(std::move(event));
        }

        void handle(const SimulationEvent& event)
        {
            switch (event.kind) {
            case EventKind::IngressArrival:
                return route(event.daemon, event.request, true);
            case EventKind::OwnerArrival:
                return admit(event.daemon, event.request);
            case EventKind::ExecutionEnded:
                return handleExecuted(event);
            case EventKind::AnswerReceived:
                m_requests[event.request].endedMs = event.ms;
                m_requests[event.request].isAnswered = true;
                return receive(event);
            case EventKind::ExecutorStart:
                return recordStart(m_executors[std::size_t(event.executor)]);
            case EventKind::ExecutorEnd:
                --m_executors[std::size_t(event.executor)].active;
                return;
            case EventKind::LoadsReceived:
                return receive(event);
            case EventKind::Heartbeat:
                return sendHeartbeats(event.daemon);
            case EventKind::Tick:
                perform(event.daemon, routing::decide(daemon(event.daemon).pool, routing::Tick(), at(m_nowMs)));
                return schedule({ .ms = m_nowMs + tickMs, .kind = EventKind::Tick, .daemon = event.daemon });
            }
        }

        void handleExecuted(const SimulationEvent& event)
        {
            const bool isFailing = m_executors[std::size_t(event.executor)].isFailing;
            const auto result = isFailing ? routing::CallResult::Failed : routing::CallResult::Succeeded;
            const routing::Completion completion { CallId(event.request + 1), result };
            perform(event.daemon, decide(event.daemon, completion));
        }

        static void recordStart(Executor& executor)
        {
            ++executor.active;
            executor.peak = std::max(executor.peak, executor.active);
        }

        void receive(const SimulationEvent& event)
        {
            for (const auto& figure : event.loads)
                routing::observe(daemon(event.daemon).loads, figure, at(m_nowMs));
        }

        void sendHeartbeats(int from)
        {
            for (int to = 0; to < int(m_daemons.size()); ++to) {
                if (to != from)
                    schedule(
                        { .ms = m_nowMs + delay(from, to), .kind = EventKind::LoadsReceived, .daemon = to, .loads = getLoadFigures(from) });
            }
            schedule({ .ms = m_nowMs + heartbeatMs, .kind = EventKind::Heartbeat, .daemon = from });
        }

        const Site m_site;
        const Variant m_variant;
        const Load m_load;
        Random m_random;
        double m_nowMs = 0;
        double m_ejections = 0;
        std::chrono::nanoseconds m_decisionTime {};
        std::uint64_t m_lastSequence = 0;
        std::vector<Executor> m_executors;
        std::map<ExecutorId, int> m_executorIndex;
        std::vector<Daemon> m_daemons;
        std::map<ShardId, int> m_shardOwners;
        std::map<ShardId, int> m_shardSlots;
        std::vector<Request> m_requests;
        std::priority_queue<SimulationEvent, std::vector<SimulationEvent>, std::greater<>> m_events;
    };

} // namespace

Result runTrial(const Site& site, const Variant& variant, const Load& load, std::uint64_t seed)
{
    return Simulation(site, variant, load, seed).run();
}

} // namespace kingcuploom::trial
