#include "scheduler/RoomClaims.h"

#include "RejectReason.h"
#include "ReleaseForecast.h"
#include "scheduler/Urgency.h"

#include <algorithm>
#include <tuple>

namespace kingcuploom::scheduler {

namespace {

    constexpr Milliseconds updateInterval { 100 };
    // A step of an underserved size claims workers once its job has waited for room for this time, any other one after the longer time.
    constexpr Milliseconds minWait { 150 };
    constexpr Milliseconds minWaitOfOldest { 4000 };
    // A worker that is being emptied for a claim idles in part, so not too many are claimed at a time.
    constexpr std::size_t maxClaimedPercent = 25;
    // The claims of the jobs that were accepted first take at most one part in this many of the workers' time.
    constexpr int oldestFirstPart = 16;
    // Time that is charged for one of these claims at most, as declared run times are far off at times.
    constexpr Milliseconds maxChargedTime { 2000 };
    // Room that one ending run provides needs no claim: it goes to the waiting steps in the order of their urgency.
    constexpr unsigned minReleases = 2;
    // Bounds the time of one update. The next update continues.
    constexpr unsigned maxStepsPerUpdate = 16;

    // A step that waits for room.
    struct Claimant {
        Job* job = nullptr;
        StepRef step;
        Urgency urgency;
        // Tasks that have neither a run nor a claim.
        unsigned missing = 0;
    };

    auto acceptanceOrder(const Claimant& it) { return std::tuple(it.urgency.priority, it.job->acceptedAt); }

    bool isWaitingForRoom(const Job& job, MonotonicTime now)
    {
        return job.roomMissingSince && now - *job.roomMissingSince >= minWait && !hasEnded(job) && !job.isCancelRequested;
    }

    unsigned countUnplaced(const Step& step)
    {
        return static_cast<unsigned>(std::ranges::count_if(step.tasks, [](const Task& task) { return !task.isDone && task.runs.empty(); }));
    }

    // Returns the steps that wait for room. Filling tasks wait for slack rather than room.
    std::vector<Claimant> collectClaimants(State& state, MonotonicTime now)
    {
        std::vector<Claimant> claimants;
        for (const auto& id : state.waiting) {
            auto& job = state.jobs.at(id);
            if (!isWaitingForRoom(job, now))
                continue;
            for (auto& [number, occurrence] : job.occurrences) {
                for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
                    const auto& step = occurrence.steps[i];
                    const auto unplaced = step.isOpen && !getStepSpec(job, i).fills ? countUnplaced(step) : 0;
                    if (unplaced > 0)
                        claimants.push_back({ &job, { id, number, i }, computeUrgency(state, job, now), unplaced });
                }
            }
        }
        return claimants;
    }

    bool isSound(const State& state, const Worker& worker, const Claimant& claimant, MonotonicTime now)
    {
        const TaskRef task { claimant.step.job, claimant.step.occurrence, claimant.step.step, 0 };
        return isOpen(state, worker) && isEligible(state, worker, *claimant.job, task, now);
    }

    // Keeps the claims whose step still waits and whose worker can still take it.
    void dropOutdatedClaims(State& state, std::vector<Claimant>& claimants, MonotonicTime now)
    {
        std::map<StepRef, Claimant*> byStep;
        for (auto& claimant : claimants)
            byStep[claimant.step] = &claimant;
        std::erase_if(state.claimedWorkers, [&](const WorkerId& id) {
            auto* worker = findWorker(state, id);
            if (!worker || !worker->claim)
                return true;
            const auto it = byStep.find(worker->claim->step);
            const bool isKept = it != byStep.end() && it->second->missing > 0 && isSound(state, *worker, *it->second, now);
            if (!isKept) {
                worker->claim.reset();
                return true;
            }
            it->second->missing -= std::min(it->second->missing, worker->claim->tasks);
            return false;
        });
    }

    struct Offer {
        Worker* worker = nullptr;
        ExpectedRoom room;
        unsigned tasks = 0;
    };

    // Returns the workers that could take tasks of the step once enough of their runs have ended, the earliest first.
    std::vector<Offer> findOffers(State& state, ReleaseForecast& forecast, const Claimant& claimant, const Rack* rack, MonotonicTime now)
    {
        const auto& spec = getStepSpec(*claimant.job, claimant.step.step);
        const auto demand = computeDemand(spec);
        const auto& service = getPolicy(state, *claimant.job).service;
        std::vector<Offer> offers;
        for (auto& [id, worker] : state.workers) {
            if (worker.claim || worker.service.value() != service || (rack && worker.rack != *rack))
                continue;
            if (!isSound(state, worker, claimant, now))
                continue;
            // The members of a gang start together, so a worker counts with all of them that it could hold.
            const auto mostTasks = spec.max_per_worker > 0 ? std::min(spec.max_per_worker, claimant.missing) : claimant.missing;
            const auto tasks = spec.gang ? forecast.countFitting(worker, demand, mostTasks) : 1;
            const auto room = tasks > 0 ? forecast.findRoom(worker, demand, tasks) : std::nullopt;
            if (room)
                offers.push_back({ &worker, *room, tasks });
        }
        std::ranges::stable_sort(offers, {}, [](const Offer& it) { return it.room.at; });
        return offers;
    }

    class ClaimUpdate {
    public:
        ClaimUpdate(State& state, MonotonicTime now, Orders& orders)
            : m_state(state)
            , m_now(now)
            , m_orders(orders)
            , m_forecast(state, now)
        {
            for (const auto& [id, worker] : state.workers)
                ++m_workers[worker.service];
        }

        // Claims workers for the claimants of underserved sizes in their order, up to the share of the workers of their service. Room
        // that one ending run provides needs no claim, since waiting steps get it in the same order.
        void claim(std::vector<Claimant>& claimants)
        {
            for (auto& claimant : claimants) {
                if (m_tried >= maxStepsPerUpdate)
                    return;
                const bool isUnderserved = claimant.urgency.outlook <= DeadlineStatus::Underserved;
                const auto most = isUnderserved ? countClaimable(claimant) : 0;
                if (claimant.missing == 0 || most == 0)
                    continue;
                auto offers = findStepOffers(claimant);
                if (!offers.empty() && offers.front().room.releases >= minReleases)
                    claimWorkers(claimant, offers, most);
            }
        }

        // Claims workers in the order of acceptance, one after the other, whatever room they lack. Before the next claim as much time of
        // the workers has to pass as keeps the claims within their part.
        void claimForOldest(std::vector<Claimant>& claimants)
        {
            for (auto& claimant : claimants) {
                const bool isOld = m_now - *claimant.job->roomMissingSince >= minWaitOfOldest;
                while (isOld && m_tried < maxStepsPerUpdate && claimant.missing > 0) {
                    auto offers = countClaimable(claimant) > 0 ? findStepOffers(claimant) : std::vector<Offer>();
                    if (offers.empty())
                        break;
                    const Milliseconds estimate(getStepSpec(*claimant.job, claimant.step.step).estimate_ms);
                    const MonotonicTime::duration time = offers.front().room.at - m_now + estimate;
                    const auto cost = std::min<MonotonicTime::duration>(time, maxChargedTime);
                    const auto workers = m_workers[ServiceName(getPolicy(m_state, *claimant.job).service)];
                    if (m_state.nextOldestClaimAt + minWaitOfOldest < m_now)
                        m_state.nextOldestClaimAt = m_now + cost * oldestFirstPart / workers;
                    if (m_state.nextOldestClaimAt > m_now)
                        return;
                    m_state.nextOldestClaimAt += cost * claimWorkers(claimant, offers, 1) * oldestFirstPart / workers;
                }
            }
        }

    private:
        // Returns how many more workers of the step's service may be claimed.
        std::size_t countClaimable(const Claimant& claimant)
        {
            const ServiceName service(getPolicy(m_state, *claimant.job).service);
            const auto limit = std::max<std::size_t>(m_workers[service] * maxClaimedPercent / 100, 1);
            const auto claimed = static_cast<std::size_t>(std::ranges::count_if(
                m_state.claimedWorkers, [&](const WorkerId& id) { return m_state.workers.at(id).service == service; }));
            return limit - std::min(limit, claimed);
        }

        std::vector<Offer> findStepOffers(const Claimant& claimant)
        {
            ++m_tried;
            const auto& spec = getStepSpec(*claimant.job, claimant.step.step);
            return spec.gang ? findGangOffers(claimant, spec.same_rack) : findOffers(m_state, m_forecast, claimant, nullptr, m_now);
        }

        // Claims the workers of the first offers, and returns how many. A gang needs all its room at once, so it takes all of them, even
        // beyond the share of the workers.
        int claimWorkers(Claimant& claimant, std::vector<Offer>& offers, std::size_t most)
        {
            if (!getStepSpec(*claimant.job, claimant.step.step).gang)
                offers.resize(std::min({ offers.size(), most, static_cast<std::size_t>(claimant.missing) }));
            for (const auto& offer : offers)
                claimWorker(claimant, offer);
            return static_cast<int>(offers.size());
        }

        // Returns workers that hold the whole gang, of one rack if it needs that, for which the last has room the soonest.
        std::vector<Offer> findGangOffers(const Claimant& claimant, bool isSameRack)
        {
            std::set<Rack> racks;
            for (const auto& [id, worker] : m_state.workers)
                racks.insert(isSameRack ? worker.rack : Rack());
            std::vector<Offer> best;
            for (const auto& rack : racks) {
                auto offers = findOffers(m_state, m_forecast, claimant, isSameRack ? &rack : nullptr, m_now);
                unsigned tasks = 0;
                const auto end = std::ranges::find_if(offers, [&](const Offer& it) { return (tasks += it.tasks) >= claimant.missing; });
                if (end == offers.end())
                    continue;
                offers.erase(end + 1, offers.end());
                if (best.empty() || offers.back().room.at < best.back().room.at)
                    best = std::move(offers);
            }
            return best;
        }

        void claimWorker(Claimant& claimant, const Offer& offer)
        {
            const auto demand = computeDemand(getStepSpec(*claimant.job, claimant.step.step));
            offer.worker->claim = RoomClaim { claimant.step, claimant.urgency.priority, demand, offer.tasks };
            m_state.claimedWorkers.insert(offer.worker->id);
            claimant.missing -= std::min(claimant.missing, offer.tasks);
            const RunRef ref { { claimant.step.job, claimant.step.occurrence, claimant.step.step, 0 }, {} };
            const auto waited = std::chrono::duration_cast<Milliseconds>(m_now - *claimant.job->roomMissingSince);
            const auto roomIn = std::chrono::duration_cast<Milliseconds>(offer.room.at - m_now);
            m_orders.emplace_back(Decision { "room_claimed", toString(ref), offer.worker->id, "waits", waited, roomIn.count() });
        }

        State& m_state;
        MonotonicTime m_now;
        Orders& m_orders;
        ReleaseForecast m_forecast;
        std::map<ServiceName, std::size_t> m_workers;
        unsigned m_tried = 0;
    };

} // namespace

void updateRoomClaims(State& state, MonotonicTime now, Orders& orders)
{
    if (now - state.claimsUpdatedAt < updateInterval)
        return;
    state.claimsUpdatedAt = now;
    auto claimants = collectClaimants(state, now);
    dropOutdatedClaims(state, claimants, now);
    if (claimants.empty())
        return;
    ClaimUpdate update(state, now, orders);
    std::ranges::stable_sort(claimants, {}, acceptanceOrder);
    update.claimForOldest(claimants);
    std::ranges::stable_sort(claimants, {}, &Claimant::urgency);
    update.claim(claimants);
}

bool isClaimedAgainst(const State& state, const Worker& worker, const Job& job, const TaskRef& ref)
{
    if (!worker.claim || worker.claim->step == toStepRef(ref) || worker.claim->priority > getPolicy(state, job).priority)
        return false;
    const auto demand = computeDemand(getStepSpec(job, ref.step));
    const auto& claim = *worker.claim;
    const auto collides = [&](std::int64_t Resources::*amount) {
        const auto left = worker.capacity.*amount - worker.reserved.*amount - demand.*amount;
        return demand.*amount > 0 && left < claim.demand.*amount * claim.tasks;
    };
    return collides(&Resources::cpuMillis) || collides(&Resources::memoryMb) || collides(&Resources::accelerators);
}

void useClaim(State& state, Worker& worker, const StepRef& step)
{
    if (!worker.claim || worker.claim->step != step || --worker.claim->tasks > 0)
        return;
    worker.claim.reset();
    state.claimedWorkers.erase(worker.id);
}

void releaseClaims(State& state, Job& job)
{
    std::erase_if(state.claimedWorkers, [&](const WorkerId& id) {
        auto* worker = findWorker(state, id);
        const bool isOfJob = worker && worker->claim && worker->claim->step.job == job.id;
        if (isOfJob)
            worker->claim.reset();
        return isOfJob || !worker;
    });
}

} // namespace kingcuploom::scheduler
