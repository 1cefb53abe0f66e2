#include "Slopes.h"

#include "base/Random.h"
#include "placement/Placement.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace kingcuploom::trial {

namespace {

    using namespace placement;

    constexpr MonotonicTime now { std::chrono::hours(1) };
    // 31,000 standing and 38,000 batch tasks on 6,800 workers.
    constexpr std::size_t plannedWorkers = 6800;
    constexpr std::size_t plannedTasks = 69000;
    constexpr std::size_t plannedStanding = 31000;
    constexpr std::size_t decisions = 2000;
    constexpr int classCount = 60;
    constexpr int serviceCount = 20;

    InterferenceModel makeModel()
    {
        InterferenceModel model;
        Random random(3);
        for (int s = 0; s < serviceCount; ++s) {
            for (int c = 0; c < classCount; ++c)
                model.pairs["service" + std::to_string(s)]["class" + std::to_string(c)]
                    = { (c % 20 == 0 ? 0.2 : 0.01) * random.unit(), 0.01, now };
        }
        return model;
    }

    PlacementTask makeTask(std::size_t number, bool isStanding, Random& random)
    {
        const auto name
            = isStanding ? "service" + std::to_string(random.below(serviceCount)) : "class" + std::to_string(random.below(classCount));
        return { { JobName("job" + std::to_string(number / 10)), std::uint32_t(number % 10) }, TeamName("team"), name,
            isStanding ? schema::JobKind::Standing : schema::JobKind::Batch, { CpuMillis(1000), MemoryMb(4000), Accelerators(0) } };
    }

    PlacementView makeView(std::size_t workers, const InterferenceModel& model)
    {
        PlacementView view;
        view.interference = &model;
        for (std::size_t i = 0; i < workers; ++i) {
            view.workers.push_back({ VmId("vm" + std::to_string(i)), FailureDomain("d" + std::to_string(i % 12)),
                Rack("rack" + std::to_string(i / 53)), { CpuMillis(16000), MemoryMb(60000), Accelerators(1) } });
        }
        return view;
    }

    double heapBytes() { return double(mallinfo2().uordblks); }

    // Processor time of the calling thread: other programs on the machine made elapsed times differ by a factor of ten.
    double threadMicroseconds()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return double(time.tv_sec) * 1e6 + double(time.tv_nsec) / 1e3;
    }

    double timeEach(const std::vector<PlacementTask>& tasks, const auto& decision)
    {
        const auto start = threadMicroseconds();
        std::ranges::for_each(tasks, decision);
        return (threadMicroseconds() - start) / double(tasks.size());
    }

    Slope measure(std::size_t workers, std::size_t maxScored, const InterferenceModel& model)
    {
        Slope slope { workers, plannedTasks * workers / plannedWorkers, maxScored };
        Random random(5);
        const double before = heapBytes();
        auto view = makeView(workers, model);
        for (std::size_t i = 0; i < slope.runningTasks; ++i) {
            const auto task = makeTask(i, i < plannedStanding * workers / plannedWorkers, random);
            addTask(view, i % workers, task, task.demand);
        }
        slope.bytes = heapBytes() - before;
        view.maxScored = maxScored;
        std::vector<PlacementTask> tasks;
        for (std::size_t i = 0; i < decisions; ++i)
            tasks.push_back(makeTask(slope.runningTasks + i, i % 2 == 0, random));
        // The task is not kept, so that all decisions see the same load.
        slope.microsecondsPerDecision = timeEach(
            tasks, [&](const PlacementTask& task) { slope.refusedShare += chooseWorker(view, task, now) ? 0 : 1.0 / double(decisions); });
        slope.decisionsPerSecond = 1e6 / slope.microsecondsPerDecision;
        slope.microsecondsPerRefusal = timeEach(tasks, [&](PlacementTask task) {
            task.demand.accelerators = Accelerators(100);
            slope.refusedShare += chooseWorker(view, task, now) ? 1 : 0;
        });
        // Kept, at most one per worker, so that the fleet does not fill up.
        tasks.resize(std::min(tasks.size(), workers));
        slope.microsecondsPerStart = timeEach(tasks, [&](const PlacementTask& task) {
            if (const auto choice = chooseWithReserve(view, task, {}, 1, now))
                addTask(view, choice->worker, task, choice->reserve);
        });
        slope.startsPerSecond = 1e6 / slope.microsecondsPerStart;
        return slope;
    }

} // namespace

std::vector<Slope> measureSlopes()
{
    const auto model = makeModel();
    std::vector<Slope> slopes;
    for (const std::size_t workers : { 50UL, 500UL, 2000UL, plannedWorkers }) {
        for (const std::size_t maxScored : { 0UL, 64UL })
            slopes.push_back(measure(workers, maxScored, model));
    }
    return slopes;
}

} // namespace kingcuploom::trial
