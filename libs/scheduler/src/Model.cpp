#include "scheduler/Model.h"

#include <algorithm>
#include <numeric>

namespace kingcuploom::scheduler {

std::string toString(const RunRef& ref)
{
    return ref.task.job.value() + '.' + std::to_string(ref.task.occurrence) + '.' + std::to_string(ref.task.step) + '.'
        + std::to_string(ref.task.index) + '/' + std::to_string(ref.run.value());
}

const char* toString(StopReason reason)
{
    switch (reason) {
    case StopReason::None:
        return "none";
    case StopReason::JobEnded:
        return "job_ended";
    case StopReason::OtherCopyFinished:
        return "copy_finished";
    case StopReason::NoProgress:
        return "no_progress";
    case StopReason::WorkerLeaving:
        return "worker_leaving";
    case StopReason::UncertainStart:
        break;
    }
    return "start_unclear";
}

Resources& Resources::operator+=(const Resources& other)
{
    cpuMillis += other.cpuMillis;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    cpuMillis -= other.cpuMillis;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

const schema::QueuePolicyT& getPolicy(const State& state, const Job& job)
{
    const auto it = state.queues.find(job.queue);
    return it == state.queues.end() ? *job.spec->policy : it->second;
}

const schema::StepSpecT& getStepSpec(const Job& job, std::uint32_t step) { return *job.spec->steps[step]; }

Job* findJob(State& state, const GraphJobId& id)
{
    const auto it = state.jobs.find(id);
    return it == state.jobs.end() ? nullptr : &it->second;
}

Worker* findWorker(State& state, const WorkerId& id)
{
    const auto it = state.workers.find(id);
    return it == state.workers.end() ? nullptr : &it->second;
}

namespace {

    Task* findTask(Job& job, const TaskRef& ref)
    {
        const auto it = job.occurrences.find(ref.occurrence);
        if (it == job.occurrences.end() || ref.step >= it->second.steps.size())
            return nullptr;
        auto& tasks = it->second.steps[ref.step].tasks;
        return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
    }

} // namespace

Task* findTask(State& state, const TaskRef& ref)
{
    auto* job = findJob(state, ref.job);
    return job ? findTask(*job, ref) : nullptr;
}

Run* findRun(State& state, const RunRef& ref) { return findRunEntry(state, ref).run; }

RunEntry findRunEntry(State& state, const RunRef& ref)
{
    auto* job = findJob(state, ref.task.job);
    auto* task = job ? findTask(*job, ref.task) : nullptr;
    if (!task)
        return {};
    const auto it = std::ranges::find(task->runs, ref.run, &Run::number);
    return it == task->runs.end() ? RunEntry {} : RunEntry { job, task, &*it };
}

bool hasEnded(schema::JobState state)
{
    return state == schema::JobState::Completed || state == schema::JobState::Failed || state == schema::JobState::Cancelled;
}

bool hasEnded(const Job& job) { return hasEnded(job.state); }

bool isUnsent(const Run& run) { return (run.phase == RunPhase::Recording || run.phase == RunPhase::Recorded) && run.startRetries == 0; }

bool mayArriveLate(const Run& run) { return run.openStarts > 0 || run.hasUnknownStarts; }

MonotonicTime computeLastArrival(const State& state, const Run& run)
{
    const auto& parameters = state.parameters;
    auto last = run.unansweredStartsEndAt;
    if (run.startsInFlight > 0)
        last = std::max(last, run.lastStartAt + parameters.maxOrderDelay);
    // An earlier leader may have gone on with starts for as long as it went on extending leases.
    if (run.hasUnknownStarts)
        last = std::max(last, state.termStartedAt + parameters.storeSilenceLimit + parameters.maxOrderDelay);
    return last;
}

bool mayArriveAfter(const State& state, const Run& run, MonotonicTime time)
{
    return mayArriveLate(run) && time <= computeLastArrival(state, run);
}

std::size_t countRuns(const Job& job)
{
    std::size_t count = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            count += std::accumulate(step.tasks.begin(), step.tasks.end(), std::size_t { 0 },
                [](std::size_t sum, const Task& task) { return sum + task.runs.size(); });
        }
    }
    return count;
}

void markDirty(State& state, Job& job, MonotonicTime now, bool isUrgent)
{
    if (job.version == job.committed || job.isCommitInFlight)
        job.dirtySince = now;
    job.version = job.version.next();
    job.isUrgent = job.isUrgent || isUrgent;
    state.dirty.insert(job.id);
}

void markWaiting(State& state, Job& job)
{
    job.hasWaitingTasks = true;
    state.waiting.insert(job.id);
}

} // namespace kingcuploom::scheduler
