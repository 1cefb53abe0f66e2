#include "scheduler/Reservations.h"

namespace kingcuploom::scheduler {

namespace {

    Resources computeReservation(const schema::StepSpecT& step)
    {
        // Filling tasks use the CPU that other tasks leave idle, and reserve none.
        return { step.fills ? 0 : step.cpu_millis, step.memory_mb, step.accelerators };
    }

    void updateReservedCpu(Worker& worker, const schema::StepSpecT& step, ImageNumber image, int sign)
    {
        worker.areExpectedLossesStale = true;
        if (step.fills) {
            worker.fillingCpuMillis += sign * step.cpu_millis;
            auto& size = worker.fillingImages[image];
            size += sign * step.cpu_millis;
            if (size == 0)
                worker.fillingImages.erase(image);
        } else if (step.long_running)
            worker.servingCpuMillis += sign * step.cpu_millis;
        if (step.target_ms == 0)
            return;
        auto& count = worker.servingImages[image];
        count += sign;
        if (count == 0)
            worker.servingImages.erase(image);
    }

} // namespace

void reserve(State& state, const RunRef& ref, const WorkerId& id)
{
    const auto* job = findJob(state, ref.task.job);
    auto& worker = state.workers[id];
    worker.id = id;
    if (!job || !worker.runs.insert(ref).second)
        return;
    const auto& step = getStepSpec(*job, ref.task.step);
    worker.reserved += computeReservation(step);
    updateReservedCpu(worker, step, job->images[ref.task.step], 1);
}

void unreserve(State& state, const RunRef& ref, const WorkerId& id)
{
    const auto* job = findJob(state, ref.task.job);
    auto* worker = findWorker(state, id);
    if (!job || !worker || worker->runs.erase(ref) == 0)
        return;
    const auto& step = getStepSpec(*job, ref.task.step);
    worker->reserved -= computeReservation(step);
    updateReservedCpu(*worker, step, job->images[ref.task.step], -1);
}

bool fitsCapacity(const Worker& worker) { return worker.reserved.fitsInto(worker.capacity); }

} // namespace kingcuploom::scheduler
