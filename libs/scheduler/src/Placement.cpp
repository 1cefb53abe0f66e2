#include "scheduler/Placement.h"

#include "RejectReason.h"
#include "StepCandidates.h"
#include "scheduler/Advice.h"
#include "scheduler/Jobs.h"
#include "scheduler/Pacing.h"
#include "scheduler/Reservations.h"
#include "scheduler/RoomClaims.h"
#include "scheduler/Runs.h"
#include "scheduler/Suspects.h"
#include "scheduler/Urgency.h"

#include <algorithm>
#include <optional>

namespace kingcuploom::scheduler {

namespace {

    // Minimum time between two placement attempts of a job, regardless of how often the scheduler runs.
    constexpr Milliseconds blockedRetryDelay { 20 };
    // A copy is placed once a run has taken this multiple of its estimate plus this time.
    constexpr double copyAfterShare = 1.6;
    constexpr Milliseconds copyAfter { 400 };

    // Demands for which this pass has found no worker. A task with the same or a higher demand is skipped. Without this, each task of a
    // backlog is compared with all workers many times a second.
    class UnplaceableDemands {
    public:
        bool covers(const Job& job, std::uint32_t stepNumber, const std::string& service) const
        {
            const auto& step = getStepSpec(job, stepNumber);
            return std::ranges::any_of(m_demands, [&](const Demand& it) {
                const bool isSameKind = it.isFilling == step.fills && it.image == job.images[stepNumber] && it.service == service
                    && it.label == step.required_label;
                return isSameKind && it.cpuMillis <= step.cpu_millis && it.memoryMb <= step.memory_mb
                    && it.accelerators <= step.accelerators;
            });
        }

        void add(const Job& job, std::uint32_t stepNumber, const std::string& service)
        {
            const auto& step = getStepSpec(job, stepNumber);
            // A task with a per-worker limit may have failed because of that limit rather than its demand.
            if (step.max_per_worker == 0)
                m_demands.push_back({ service, step.required_label, job.images[stepNumber], step.fills, step.cpu_millis, step.memory_mb,
                    step.accelerators });
        }

    private:
        struct Demand {
            std::string service;
            std::string label;
            ImageNumber image;
            bool isFilling = false;
            std::int64_t cpuMillis = 0;
            std::int64_t memoryMb = 0;
            std::int64_t accelerators = 0;
        };

        std::vector<Demand> m_demands;
    };

    struct Pass {
        OpenWorkers workers;
        UnplaceableDemands failed;
    };

    void reportWait(const State& state, Job& job, const TaskRef& ref, MonotonicTime now, Orders& orders)
    {
        if (std::exchange(job.isWaitReported, true))
            return;
        const auto age = std::chrono::duration_cast<Milliseconds>(now - job.arrivedAt);
        orders.emplace_back(Decision { "job_waits", toString(RunRef { ref, {} }), {}, describeRejections(state, job, ref, now), age,
            getStepSpec(job, ref.step).cpu_millis });
    }

    // Requests permits for the workers that lack only a permit to take the task, best score first.
    void requestPermits(State& state, OpenWorkers& open, const Job& job, const TaskRef& ref, MonotonicTime now, Orders& orders)
    {
        std::vector<std::pair<double, WorkerId>> candidates;
        const auto& task = job.occurrences.at(ref.occurrence).steps[ref.step].tasks[ref.index];
        const RoomDemand demand(getStepSpec(job, ref.step));
        for (const auto& room : open.ofService(getPolicy(state, job).service)) {
            const auto& worker = *room.worker;
            const bool lacksPermit = demand.mayFit(room) && findOpenRejectReason(state, worker, job, ref, now) == RejectReason::NoPermit;
            if (lacksPermit)
                candidates.emplace_back(-computeScore(state, worker, job, ref.step, hasFailedOn(task, worker), now), worker.id);
        }
        std::ranges::sort(candidates);
        std::vector<WorkerId> workers;
        std::ranges::transform(candidates, std::back_inserter(workers), [](const auto& it) { return it.second; });
        requestAdvice(state, toStepRef(ref), workers, now, orders);
    }

    void addRun(State& state, Job& job, const TaskRef& ref, Task& task, RunNumber number, Worker& worker, MonotonicTime now, Orders& orders)
    {
        Run run;
        run.number = number;
        run.worker = worker.id;
        run.born = worker.born;
        run.createdAt = now;
        run.percentChangedAt = now;
        task.lastRun = number;
        markDirty(state, job, now, true);
        run.recordedInVersion = job.version;
        task.runs.push_back(run);
        reserve(state, { ref, number }, worker.id);
        useClaim(state, worker, toStepRef(ref));
        if (const auto& step = getStepSpec(job, ref.step); step.fills)
            reserveSlack(state, worker, job.images[ref.step], step.cpu_millis);
        const auto age = std::chrono::duration_cast<Milliseconds>(now - worker.lastAnswerAt);
        const auto room = worker.capacity.cpuMillis - worker.reserved.cpuMillis;
        const bool isTrial = needsTrial(task);
        worker.suspectRuns += isSuspected(task) ? 1 : 0;
        worker.isOnTrial = worker.isOnTrial || isTrial;
        orders.emplace_back(Decision { "run_placed", toString(RunRef { ref, number }), worker.id, isTrial ? "trial" : "score", age, room });
    }

    bool hasClaim(const State& state, const StepRef& step)
    {
        return std::ranges::any_of(state.claimedWorkers, [&](const WorkerId& id) { return state.workers.at(id).claim->step == step; });
    }

    bool isWaiting(const Task& task) { return !task.isDone && task.runs.empty(); }

    bool mayBePlaced(const Task& task, MonotonicTime now) { return task.notBefore <= now && !isCrashLimitReached(task); }

    // Places all members of a gang together, with the same run number and checkpoint.
    bool placeGang(
        State& state, OpenWorkers& workers, Job& job, std::uint32_t occurrence, std::uint32_t stepNumber, MonotonicTime now, Orders& orders)
    {
        auto& step = job.occurrences.at(occurrence).steps[stepNumber];
        const auto& spec = getStepSpec(job, stepNumber);
        if (!std::ranges::all_of(step.tasks, [&](const Task& task) { return isWaiting(task) && mayBePlaced(task, now); }))
            return false;
        const auto newest = std::ranges::max_element(step.tasks, {}, &Task::lastRun)->lastRun.next();
        const auto saved = std::ranges::find_if(step.tasks, [](const Task& task) { return !task.checkpoint.empty(); });
        const auto checkpoint = saved == step.tasks.end() ? std::string() : saved->checkpoint;
        std::set<Rack> racks;
        for (const auto& [id, worker] : state.workers)
            racks.insert(spec.same_rack ? worker.rack : Rack());
        for (const auto& rack : racks) {
            StepCandidates candidates(state, workers, job, { job.id, occurrence, stepNumber, 0 }, now, spec.same_rack ? &rack : nullptr);
            std::vector<std::pair<TaskRef, Worker*>> chosen;
            for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
                const TaskRef ref { job.id, occurrence, stepNumber, index };
                auto* worker = candidates.choose(step.tasks[index]);
                if (!worker)
                    break;
                // Reserved immediately, so that the next member sees the remaining capacity.
                reserve(state, { ref, newest }, worker->id);
                candidates.update(*worker);
                chosen.emplace_back(ref, worker);
            }
            for (const auto& [ref, worker] : chosen) {
                unreserve(state, { ref, newest }, worker->id);
                workers.refresh(*worker);
            }
            if (chosen.size() < step.tasks.size())
                continue;
            for (const auto& [ref, worker] : chosen) {
                step.tasks[ref.index].checkpoint = checkpoint;
                addRun(state, job, ref, step.tasks[ref.index], newest, *worker, now, orders);
                workers.refresh(*worker);
            }
            return true;
        }
        return false;
    }

    // Returns what the tasks that remain to be placed wait for, or nothing if none remains.
    std::optional<WaitCause> placeStep(
        State& state, Job& job, std::uint32_t occurrence, std::uint32_t stepNumber, MonotonicTime now, Pass& pass, Orders& orders)
    {
        auto& step = job.occurrences.at(occurrence).steps[stepNumber];
        if (!step.isOpen || step.doneCount == step.tasks.size())
            return std::nullopt;
        const auto causeWithoutRoom = isAdvised(state, job) ? WaitCause::Permit : WaitCause::Room;
        if (getStepSpec(job, stepNumber).gang) {
            const bool isWaitingGang = std::ranges::any_of(step.tasks, isWaiting);
            if (!isWaitingGang || placeGang(state, pass.workers, job, occurrence, stepNumber, now, orders))
                return std::nullopt;
            if (isAdvised(state, job))
                requestPermits(state, pass.workers, job, { job.id, occurrence, stepNumber, 0 }, now, orders);
            return causeWithoutRoom;
        }
        std::optional<WaitCause> cause;
        const auto& service = getPolicy(state, job).service;
        std::optional<StepCandidates> candidates;
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            auto& task = step.tasks[index];
            if (!isWaiting(task))
                continue;
            const bool isTrial = needsTrial(task);
            if (!mayBePlaced(task, now) || (isTrial && !mayBeginTrial(state, job))) {
                cause = isTrial ? WaitCause::Trial : WaitCause::Retry;
                continue;
            }
            const TaskRef ref { job.id, occurrence, stepNumber, index };
            // A demand that others have found no room for may fit a worker that the step has claimed.
            const bool isHopeless = !hasClaim(state, toStepRef(ref)) && pass.failed.covers(job, stepNumber, service);
            if (!candidates && !isHopeless)
                candidates.emplace(state, pass.workers, job, ref, now);
            auto* worker = !candidates ? nullptr : isTrial ? candidates->chooseForTrial(state, task) : candidates->choose(task);
            if (!worker && isTrial) {
                cause = WaitCause::Trial;
                continue;
            }
            // The other tasks of the step have the same demand.
            if (!worker) {
                if (isAdvised(state, job))
                    requestPermits(state, pass.workers, job, ref, now, orders);
                else
                    pass.failed.add(job, stepNumber, service);
                reportWait(state, job, ref, now, orders);
                return causeWithoutRoom;
            }
            addRun(state, job, ref, task, task.lastRun.next(), *worker, now, orders);
            candidates->update(*worker);
        }
        return cause;
    }

    WaitCause refineRoomCause(const State& state, const Job& job, DeadlineStatus status)
    {
        const bool hasClaims
            = std::ranges::any_of(state.claimedWorkers, [&](const WorkerId& id) { return state.workers.at(id).claim->step.job == job.id; });
        if (hasClaims)
            return WaitCause::ClaimedRoom;
        return status == DeadlineStatus::Late || status == DeadlineStatus::Expired ? WaitCause::RoomWhenLate : WaitCause::Room;
    }

    void placeJob(State& state, Job& job, DeadlineStatus status, MonotonicTime now, Pass& pass, Orders& orders)
    {
        std::optional<WaitCause> cause;
        for (auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto stepCause = placeStep(state, job, number, step, now, pass, orders);
                cause = stepCause ? stepCause : cause;
            }
        }
        job.hasWaitingTasks = cause.has_value();
        if (cause == WaitCause::Room) {
            job.roomMissingSince = job.roomMissingSince.value_or(now);
            cause = refineRoomCause(state, job, status);
        } else if (std::exchange(job.roomMissingSince, std::nullopt)) {
            releaseClaims(state, job);
        }
        if (!cause)
            return job.waits.end(now);
        job.waits.begin(*cause, now);
        job.blockedUntil = now + blockedRetryDelay;
    }

    void recordPlacementHold(State& state, bool isHeld, MonotonicTime now)
    {
        if (std::exchange(state.isPlacementHeld, isHeld) || !isHeld)
            return;
        for (const auto& id : state.waiting) {
            if (auto& job = state.jobs.at(id); job.hasWaitingTasks && !hasEnded(job))
                job.waits.begin(WaitCause::LeaderHold, now);
        }
    }

    bool needsCopy(const State& state, const schema::StepSpecT& step, const Task& task, MonotonicTime now)
    {
        if (!step.speculative || task.isDone || task.runs.size() != 1 || task.crashHistory.crashes > 0)
            return false;
        const auto& run = task.runs.front();
        const auto& worker = state.workers.at(run.worker);
        if (isUnsent(run) || run.phase == RunPhase::Unverified)
            return false;
        const auto limit = std::chrono::duration_cast<Milliseconds>(Milliseconds(step.estimate_ms) * copyAfterShare) + copyAfter;
        // Not from the placement on: the commit and the wait for a fresh view are no sign of a slow worker.
        const auto begunAt = run.startConfirmedAt.value_or(run.orderedAt);
        return worker.missedPolls > 0 || run.phase == RunPhase::Stopping || run.startRetries > 0 || now - begunAt > limit;
    }

} // namespace

void placeWaitingTasks(State& state, MonotonicTime now, Orders& orders)
{
    // Tasks wait in their jobs, where more urgent ones overtake them, rather than on a worker whose room they would hold.
    const bool areStartsBacklogged = state.recordedRuns.size() > static_cast<std::size_t>(state.startWindow.limit);
    recordPlacementHold(state, state.isViewStale || areStartsBacklogged, now);
    if (state.isPlacementHeld)
        return;
    markSuspectWorkers(state);
    updateRoomClaims(state, now, orders);
    std::erase_if(state.waiting, [&](const GraphJobId& id) {
        const auto& job = state.jobs.at(id);
        return !job.hasWaitingTasks || hasEnded(job);
    });
    std::vector<std::pair<Urgency, Job*>> waiting;
    for (const auto& id : state.waiting) {
        auto& job = state.jobs.at(id);
        if (job.blockedUntil <= now && !job.isCancelRequested)
            waiting.emplace_back(computeUrgency(state, job, now), &job);
    }
    // Ties are broken by job id, the order of state.waiting.
    std::ranges::stable_sort(waiting, {}, [](const auto& it) { return it.first; });
    Pass pass { OpenWorkers(state), {} };
    for (const auto& [urgency, job] : waiting) {
        if (urgency.outlook == DeadlineStatus::Expired)
            countServed(state, *job, false);
        placeJob(state, *job, urgency.outlook, now, pass, orders);
    }
}

void placeSpeculativeCopies(State& state, MonotonicTime now, Orders& orders)
{
    if (state.isViewStale)
        return;
    OpenWorkers workers(state);
    for (const auto& id : state.active) {
        auto& job = state.jobs.at(id);
        if (hasEnded(job) || job.isCancelRequested)
            continue;
        for (auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = getStepSpec(job, step);
                if (!spec.speculative || !occurrence.steps[step].isOpen)
                    continue;
                auto& tasks = occurrence.steps[step].tasks;
                std::optional<StepCandidates> candidates;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (!needsCopy(state, spec, tasks[index], now))
                        continue;
                    const TaskRef ref { id, number, step, index };
                    if (!candidates)
                        candidates.emplace(state, workers, job, ref, now);
                    auto* worker = candidates->choose(tasks[index]);
                    if (!worker)
                        continue;
                    addRun(state, job, ref, tasks[index], tasks[index].lastRun.next(), *worker, now, orders);
                    candidates->update(*worker);
                }
            }
        }
    }
}

} // namespace kingcuploom::scheduler
