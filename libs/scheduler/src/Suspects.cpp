#include "scheduler/Suspects.h"

#include "scheduler/Health.h"
#include "scheduler/Jobs.h"
#include "scheduler/Runs.h"

#include <algorithm>
#include <utility>

namespace kingcuploom::scheduler {

namespace {

    // Number of early crashes from which on the task runs on trial, and at which it is given up.
    constexpr std::uint32_t earlyCrashesBeforeTrial = 2;
    constexpr std::uint32_t maxEarlyCrashes = 3;
    // The same for all crashes, also those that another cause may explain. Tasks that crash their worker late reach only these.
    constexpr std::uint32_t crashesBeforeTrial = 3;
    constexpr std::uint32_t maxCrashes = 5;
    // A crash is early until a report shows the run this long after its start.
    constexpr Milliseconds earlyTime { 1000 };
    // Workers that fall silent within this time of each other have a common cause. Covers the pause between two polls.
    constexpr Milliseconds commonCauseTime { 100 };
    // A run that has executed for this time clears its task.
    constexpr Milliseconds clearTime { 60'000 };
    // Bound on the workers of a service that trials keep from other tasks.
    constexpr std::size_t maxTrialPercent = 34;
    // Bound on the trials of a job that has not passed any, because each of its tasks can be of the same kind.
    constexpr std::size_t maxTrialsPerJob = 2;

    // Returns for how long the worker is known to have executed the run.
    Milliseconds computeExecutedTime(const Run& run, const Worker& worker)
    {
        if (!run.isListed || !run.startConfirmedAt)
            return Milliseconds(0);
        return std::chrono::duration_cast<Milliseconds>(worker.reportedAt - *run.startConfirmedAt);
    }

    // Workers that fall silent together have a common cause, unless suspected tasks explain the silence of the others.
    bool isLostAlone(const State& state, const Worker& worker)
    {
        return worker.silenceBeganAt && std::ranges::none_of(state.workers, [&](const auto& entry) {
            const auto& other = entry.second;
            const bool isOtherSilent = other.id != worker.id && other.silenceBeganAt && other.suspectRuns == 0;
            return isOtherSilent && std::chrono::abs(*other.silenceBeganAt - *worker.silenceBeganAt) < commonCauseTime;
        });
    }

    bool mayHaveExecuted(const Run& run) { return !isUnsent(run) && !run.stopConfirmedAt; }

    const char* describePhase(const Run& run)
    {
        if (run.isListed)
            return "listed";
        if (run.startConfirmedAt)
            return "confirmed";
        return run.phase == RunPhase::Unverified ? "of_earlier_term" : isUnsent(run) ? "not_sent" : "not_confirmed";
    }

    // Calls the visitor with the worker of each run of a suspected task that may still crash it, and with the task.
    template <typename Visitor> void visitSuspectRuns(State& state, const Visitor& visit)
    {
        for (const auto& ref : state.suspects) {
            const auto* task = findTask(state, ref);
            if (!task || !isSuspected(*task))
                continue;
            for (const auto& run : task->runs) {
                auto* worker = findWorker(state, run.worker);
                if (worker && computeExecutedTime(run, *worker) < earlyTime)
                    visit(*worker, ref, *task);
            }
        }
    }

    void giveUp(State& state, Job& job, const TaskRef& ref, const Task& task, MonotonicTime now, std::int64_t wallMs, Orders& orders)
    {
        orders.emplace_back(
            Decision { "job_failed", toString({ ref, task.lastRun }), {}, "worker_crashes", {}, task.crashHistory.crashes });
        endJob(state, job, schema::JobState::Failed, now, wallMs);
        stopJobRuns(state, job, StopReason::JobEnded, now, orders);
    }

    // Ends the suspicion of a task that has executed long enough for that, and then its crash history.
    void clearExecuted(State& state, Job& job, Task& task, MonotonicTime now)
    {
        Milliseconds executed { 0 };
        for (const auto& run : task.runs) {
            if (const auto* worker = findWorker(state, run.worker))
                executed = std::max(executed, computeExecutedTime(run, *worker));
        }
        auto& history = task.crashHistory;
        if (executed < earlyTime)
            return;
        job.hasPassedTrial = job.hasPassedTrial || needsTrial(task);
        history.hasExecuted = true;
        if (history.earlyCrashes == 0 && executed < clearTime)
            return;
        history.earlyCrashes = 0;
        if (executed >= clearTime)
            history.crashes = 0;
        markDirty(state, job, now, false);
    }

} // namespace

std::size_t countRecentStarts(State& state, const Worker& worker)
{
    return static_cast<std::size_t>(std::ranges::count_if(worker.runs, [&](const RunRef& ref) {
        const auto [job, task, run] = findRunEntry(state, ref);
        const bool isRecent = run && mayHaveExecuted(*run) && computeExecutedTime(*run, worker) < earlyTime;
        return isRecent && !task->crashHistory.hasExecuted;
    }));
}

WorkerLoss assessLoss(State& state, const Worker& worker, LossKind kind)
{
    return { kind, isLostAlone(state, worker), countRecentStarts(state, worker) };
}

void countCrash(State& state, const RunRef& ref, const WorkerLoss& loss, MonotonicTime now)
{
    const auto [job, task, run] = findRunEntry(state, ref);
    if (!run || loss.kind == LossKind::Taken || run->isCrashCounted || !mayHaveExecuted(*run))
        return;
    const auto* worker = findWorker(state, run->worker);
    const bool isEarly = !worker || computeExecutedTime(*run, *worker) < earlyTime;
    // A worker gets no starts from the announcement of its leave on and serves for longer than the early time, so it has crashed before it
    // could leave if a run is lost early.
    if (loss.kind == LossKind::Left && !isEarly)
        return;
    auto& history = task->crashHistory;
    // Only the first early crash after such an execution, so that a task which begins to crash its workers is not started without a bound.
    const bool hasExecuted = std::exchange(history.hasExecuted, !isEarly);
    run->isCrashCounted = true;
    if ((!isEarly || hasExecuted) && (!loss.isAlone || loss.recentStarts > 0))
        return;
    ++history.crashes;
    preferOtherWorkers(*task, run->worker);
    // A start that the worker has not confirmed may not have reached it. A trial shows nothing if another cause may have ended it.
    const bool hasOtherCause = !loss.isAlone || loss.recentStarts > 1;
    const bool isConclusive = !hasOtherCause || history.earlyCrashes < earlyCrashesBeforeTrial;
    if (isEarly && run->startConfirmedAt && loss.kind == LossKind::Crashed && isConclusive)
        ++history.earlyCrashes;
    state.suspects.insert(ref.task);
    markDirty(state, *job, now, false);
}

void clearCrashHistory(Task& task) { task.crashHistory = {}; }

void countOtherEnd(Task& task)
{
    if (task.crashHistory.crashes >= crashesBeforeTrial)
        ++task.crashHistory.crashes;
}

void loseRun(State& state, const RunRef& ref, const WorkerLoss& loss, MonotonicTime now, Orders& orders)
{
    countCrash(state, ref, loss, now);
    const auto [job, task, run] = findRunEntry(state, ref);
    if (!run)
        return;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - run->startConfirmedAt.value_or(run->createdAt));
    orders.emplace_back(Decision { "run_lost", toString(ref), run->worker, describePhase(*run), age, task->crashHistory.crashes });
    releaseRun(state, ref, now);
}

bool isSuspected(const Task& task) { return task.crashHistory.earlyCrashes > 0 || needsTrial(task); }

bool needsTrial(const Task& task)
{
    const auto& history = task.crashHistory;
    return history.earlyCrashes >= earlyCrashesBeforeTrial || (history.crashes >= crashesBeforeTrial && !history.hasExecuted);
}

bool isCrashLimitReached(const Task& task)
{
    return task.crashHistory.earlyCrashes >= maxEarlyCrashes || task.crashHistory.crashes >= maxCrashes;
}

bool mayBeginTrial(State& state, const Job& job)
{
    const auto& service = getPolicy(state, job).service;
    const auto isOfService = [&](const auto& entry) { return entry.second.service.value() == service; };
    const auto size = static_cast<std::size_t>(std::ranges::count_if(state.workers, isOfService));
    std::size_t trials = 0;
    std::size_t trialsOfJob = 0;
    visitSuspectRuns(state, [&](const Worker& worker, const TaskRef& ref, const Task& task) {
        if (!needsTrial(task))
            return;
        trials += worker.service.value() == service ? 1 : 0;
        trialsOfJob += ref.job == job.id ? 1 : 0;
    });
    return (job.hasPassedTrial || trialsOfJob < maxTrialsPerJob) && trials < std::max<std::size_t>(size * maxTrialPercent / 100, 1);
}

void markSuspectWorkers(State& state)
{
    for (auto& [id, worker] : state.workers) {
        worker.suspectRuns = 0;
        worker.isOnTrial = false;
    }
    visitSuspectRuns(state, [](Worker& worker, const TaskRef&, const Task& task) {
        ++worker.suspectRuns;
        worker.isOnTrial = worker.isOnTrial || needsTrial(task);
    });
}

void checkSuspects(State& state, MonotonicTime now, std::int64_t wallMs, Orders& orders)
{
    const auto suspects = state.suspects;
    for (const auto& ref : suspects) {
        auto* job = findJob(state, ref.job);
        auto* task = job && !hasEnded(*job) ? findTask(state, ref) : nullptr;
        if (task && !task->isDone)
            clearExecuted(state, *job, *task, now);
        if (task && task->isDone)
            job->hasPassedTrial = job->hasPassedTrial || needsTrial(*task);
        const bool isOver = !task || task->isDone || task->crashHistory.crashes == 0;
        if (isOver) {
            state.suspects.erase(ref);
            continue;
        }
        // A copy that still runs may complete the task.
        if (isCrashLimitReached(*task) && task->runs.empty())
            giveUp(state, *job, ref, *task, now, wallMs, orders);
    }
}

} // namespace kingcuploom::scheduler
