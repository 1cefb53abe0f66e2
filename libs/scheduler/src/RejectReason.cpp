#include "RejectReason.h"

#include "scheduler/Advice.h"
#include "scheduler/Health.h"
#include "scheduler/Pacing.h"
#include "scheduler/RoomClaims.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // Average CPU use of serving tasks, in percent of their declared size. Filling tasks can use the rest.
    constexpr std::int64_t servingUsePercent = 55;
    // A filling task is not placed on a worker if its expected pace or the CPU headroom would be below these fractions. The minimum
    // headroom is negative because tasks use less than their declared size.
    constexpr double minExpectedPace = 0.6;
    constexpr double minCpuHeadroom = -0.1;
    // A worker with runs that has not answered for this time gets no new task.
    constexpr Milliseconds maxAnswerAge { 2800 };

    double getCpuCapacity(const Worker& worker) { return static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1)); }

    // In millicores.
    std::int64_t expectedCpuUse(const Worker& worker)
    {
        const auto others = worker.reserved.cpuMillis - worker.servingCpuMillis;
        return others + worker.servingCpuMillis * servingUsePercent / 100 + worker.fillingCpuMillis;
    }

    bool hasLabel(const Worker& worker, const std::string& label)
    {
        return label.empty() || std::ranges::find(worker.labels, label) != worker.labels.end();
    }

    std::size_t countStepRuns(const Worker& worker, const TaskRef& task)
    {
        return static_cast<std::size_t>(std::ranges::count_if(worker.runs, [&](const RunRef& it) {
            return it.task.job == task.job && it.task.occurrence == task.occurrence && it.task.step == task.step;
        }));
    }

    // Whether an open worker may get a task depends on its runs, and so on the tasks that the pass has already placed there.
    bool isUsable(const Worker& worker, MonotonicTime now)
    {
        return !worker.isOnTrial && (now - worker.lastAnswerAt < maxAnswerAge || worker.runs.empty()) && isHealthy(worker, now);
    }

    bool isAtStepLimit(const Worker& worker, const schema::StepSpecT& step, const TaskRef& ref)
    {
        return step.max_per_worker > 0 && countStepRuns(worker, ref) >= step.max_per_worker;
    }

    RejectReason checkCapacity(const Worker& worker, const schema::StepSpecT& step)
    {
        auto sum = worker.reserved;
        sum += computeDemand(step);
        if (sum.cpuMillis > worker.capacity.cpuMillis)
            return RejectReason::Cpu;
        if (sum.memoryMb > worker.capacity.memoryMb)
            return RejectReason::Memory;
        return sum.accelerators > worker.capacity.accelerators ? RejectReason::Accelerators : RejectReason::None;
    }

    // Filling tasks without enough CPU only slow down each other and the serving tasks, so they wait instead.
    RejectReason checkFilling(const State& state, const Worker& worker, const schema::StepSpecT& step, ImageNumber image)
    {
        if (cpuHeadroom(worker, step) < minCpuHeadroom)
            return RejectReason::CpuHeadroom;
        if (!hasSlackFor(state, worker, image, step.cpu_millis))
            return RejectReason::LatencySlack;
        return estimateFilling(state, worker, image, step.cpu_millis).pace < minExpectedPace ? RejectReason::LowPace : RejectReason::None;
    }

    RejectReason checkPermit(const State& state, const Worker& worker, const StepRef& step, MonotonicTime now)
    {
        if (isBarred(state, step, worker))
            return RejectReason::Denied;
        return findPermit(state, step, worker, now) ? RejectReason::None : RejectReason::NoPermit;
    }

} // namespace

const char* toString(RejectReason obstacle)
{
    switch (obstacle) {
    case RejectReason::None:
        return "none";
    case RejectReason::ServiceMismatch:
        return "service";
    case RejectReason::Unavailable:
        return "not_open";
    case RejectReason::LabelMismatch:
        return "label";
    case RejectReason::Cpu:
        return "processors";
    case RejectReason::Memory:
        return "memory";
    case RejectReason::Accelerators:
        return "accelerators";
    case RejectReason::MaxPerWorker:
        return "limit_on_worker";
    case RejectReason::Claimed:
        return "claimed";
    case RejectReason::LatencySlack:
        return "slack";
    case RejectReason::CpuHeadroom:
        return "left_over";
    case RejectReason::LowPace:
        return "pace";
    case RejectReason::Denied:
        return "barred";
    case RejectReason::NoPermit:
        break;
    }
    return "no_permit";
}

Resources computeDemand(const schema::StepSpecT& step) { return { step.fills ? 0 : step.cpu_millis, step.memory_mb, step.accelerators }; }

double cpuHeadroom(const Worker& worker, const schema::StepSpecT& step)
{
    return static_cast<double>(worker.capacity.cpuMillis - expectedCpuUse(worker) - step.cpu_millis) / getCpuCapacity(worker);
}

std::int64_t maxFillingCpu(const Worker& worker)
{
    // One millicore more than the exact limit, so that rounding rejects no task.
    const auto overcommitted = static_cast<std::int64_t>(-minCpuHeadroom * getCpuCapacity(worker)) + 1;
    return worker.capacity.cpuMillis - expectedCpuUse(worker) + overcommitted;
}

bool isOpen(const State& state, const Worker& worker)
{
    const bool isAnswering = worker.hasSeenFence && worker.missedPolls == 0;
    const bool isCapacityKnown = worker.listedBorn == worker.born && !worker.hasUnknownRuns;
    return worker.isListed && !worker.isEntryUnreadable && !worker.isDraining && isAnswering && isCapacityKnown
        && !state.closedDomains.contains(worker.domain);
}

RejectReason findOpenRejectReason(const State& state, const Worker& worker, const Job& job, const TaskRef& ref, MonotonicTime now)
{
    const auto& step = getStepSpec(job, ref.step);
    if (!isUsable(worker, now))
        return RejectReason::Unavailable;
    if (!hasLabel(worker, step.required_label))
        return RejectReason::LabelMismatch;
    if (const auto obstacle = checkCapacity(worker, step); obstacle != RejectReason::None)
        return obstacle;
    if (isAtStepLimit(worker, step, ref))
        return RejectReason::MaxPerWorker;
    if (isClaimedAgainst(state, worker, job, ref))
        return RejectReason::Claimed;
    const auto obstacle = step.fills ? checkFilling(state, worker, step, job.images[ref.step]) : RejectReason::None;
    return obstacle == RejectReason::None && isAdvised(state, job) ? checkPermit(state, worker, toStepRef(ref), now) : obstacle;
}

bool isEligible(const State& state, const Worker& worker, const Job& job, const TaskRef& ref, MonotonicTime now)
{
    const auto& step = getStepSpec(job, ref.step);
    if (!isUsable(worker, now) || !hasLabel(worker, step.required_label) || isAtStepLimit(worker, step, ref))
        return false;
    return !isAdvised(state, job) || findPermit(state, toStepRef(ref), worker, now);
}

RejectReason findRejectReason(const State& state, const Worker& worker, const Job& job, const TaskRef& ref, MonotonicTime now)
{
    if (worker.service.value() != getPolicy(state, job).service)
        return RejectReason::ServiceMismatch;
    return isOpen(state, worker) ? findOpenRejectReason(state, worker, job, ref, now) : RejectReason::Unavailable;
}

std::string describeRejections(const State& state, const Job& job, const TaskRef& ref, MonotonicTime now)
{
    std::map<std::string, int> counts;
    for (const auto& [id, worker] : state.workers) {
        const auto obstacle = findRejectReason(state, worker, job, ref, now);
        if (obstacle != RejectReason::ServiceMismatch)
            ++counts[toString(obstacle)];
    }
    std::string text;
    for (const auto& [name, count] : counts)
        text += (text.empty() ? "" : ",") + name + ':' + std::to_string(count);
    return text.empty() ? "no_worker" : text;
}

} // namespace kingcuploom::scheduler
