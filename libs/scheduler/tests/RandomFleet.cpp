#include "RandomFleet.h"

#include "scheduler/Fleet.h"
#include "scheduler/Jobs.h"
#include "scheduler/Reservations.h"
#include "scheduler/Runs.h"

#include <random>

namespace kingcuploom::scheduler::test {

namespace {

    constexpr std::uint64_t imageCount = 5;
    constexpr std::uint64_t rackCount = 4;
    constexpr std::uint64_t jobCount = 40;

    class FleetGenerator {
    public:
        explicit FleetGenerator(std::uint64_t seed)
            : m_random(seed)
        {
        }

        State make()
        {
            m_state.closedDomains.insert(FailureDomain("domain2"));
            const auto workerCount = 5 + below(40);
            for (std::uint64_t i = 0; i < workerCount; ++i)
                addWorker(i);
            for (std::uint64_t i = 0; i < jobCount; ++i)
                addRandomJob(i);
            for (auto& [id, worker] : m_state.workers)
                vary(worker);
            learn();
            return std::move(m_state);
        }

    private:
        std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
        bool happens(unsigned percent) { return below(100) < percent; }
        std::string pick(const char* prefix, std::uint64_t count) { return prefix + std::to_string(below(count)); }
        MonotonicTime near(std::int64_t earliestMs, std::int64_t latestMs)
        {
            return fleetTime
                + Milliseconds(earliestMs + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(latestMs - earliestMs))));
        }

        void addWorker(std::uint64_t index)
        {
            WorkerEntry entry;
            entry.id = WorkerId("worker" + std::to_string(index));
            entry.born = IncarnationTime(1);
            entry.service = ServiceName(happens(85) ? "service0" : "service1");
            entry.address = Address("10.0.0.1:1");
            entry.domain = FailureDomain(happens(85) ? "domain1" : "domain2");
            entry.rack = Rack(pick("rack", rackCount));
            if (happens(40))
                entry.labels.emplace_back("label");
            entry.capacity = { happens(50) ? 16'000 : 8000, happens(50) ? 64'000 : 16'000, happens(30) ? 2 : 0 };
            entry.isDraining = happens(5);
            Orders orders;
            onWorkerListed(m_state, entry, fleetTime, orders);
        }

        std::shared_ptr<schema::GraphJobSpecT> makeSpec(std::uint64_t index)
        {
            auto spec = std::make_shared<schema::GraphJobSpecT>();
            spec->job = "job" + std::to_string(1000 + index);
            spec->queue = pick("queue", 3);
            spec->accepted_at_ms = fleetWallMs - static_cast<std::int64_t>(below(5000));
            spec->policy = std::make_unique<schema::QueuePolicyT>();
            spec->policy->service = happens(85) ? "service0" : "service1";
            spec->policy->priority = static_cast<std::uint32_t>(below(2));
            spec->policy->max_attempts = 3;
            spec->policy->stretch = 2;
            spec->policy->advised = happens(15);
            const auto stepCount = 1 + below(2);
            for (std::uint64_t i = 0; i < stepCount; ++i)
                spec->steps.push_back(makeStep());
            return spec;
        }

        std::unique_ptr<schema::StepSpecT> makeStep()
        {
            auto step = std::make_unique<schema::StepSpecT>();
            step->count = static_cast<std::uint32_t>(1 + below(6));
            step->cpu_millis = static_cast<std::int64_t>(400 * (1 + below(8)));
            step->memory_mb = static_cast<std::int64_t>(800 * (1 + below(8)));
            step->accelerators = happens(10) ? 1 : 0;
            step->estimate_ms = static_cast<std::uint32_t>(100 + below(2000));
            step->max_per_worker = happens(15) ? 1 : 0;
            step->image = pick("image", imageCount);
            step->required_label = happens(15) ? "label" : "";
            step->affinity_rack = happens(25) ? pick("rack", rackCount) : "";
            switch (below(5)) {
            case 0:
            case 1:
                step->fills = true;
                break;
            case 2:
                step->long_running = true;
                step->target_ms = 45;
                break;
            case 3:
                step->gang = true;
                step->same_rack = happens(50);
                break;
            default:
                step->speculative = true;
            }
            return step;
        }

        void addRandomJob(std::uint64_t index)
        {
            auto* job = addJob(m_state, makeSpec(index), nullptr, {}, fleetTime, fleetWallMs);
            const bool isExecuted = happens(60);
            for (std::uint32_t step = 0; step < job->spec->steps.size(); ++step) {
                auto& tasks = job->occurrences.at(0).steps[step].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (isExecuted && !job->spec->steps[step]->gang && happens(70))
                        addRandomRun(*job, { job->id, 0, step, index }, tasks[index]);
                    if (happens(20))
                        tasks[index].failedOn.push_back(randomWorker());
                    if (happens(5))
                        tasks[index].notBefore = near(-10, 10);
                }
                if (job->spec->policy->advised)
                    addPermits({ job->id, 0, step });
            }
        }

        WorkerId randomWorker()
        {
            return std::next(m_state.workers.begin(), static_cast<std::ptrdiff_t>(below(m_state.workers.size())))->first;
        }

        void addRandomRun(Job& job, const TaskRef& ref, Task& task)
        {
            Run run;
            run.number = RunNumber(static_cast<std::uint32_t>(1 + below(9)));
            run.worker = randomWorker();
            run.born = IncarnationTime(1);
            run.phase = static_cast<RunPhase>(below(6));
            if (happens(70))
                run.phase = RunPhase::Running;
            run.createdAt = near(-5000, 0);
            run.orderedAt = near(-300, 0);
            run.isListed = happens(80);
            run.isOrderInFlight = happens(20);
            run.startRetries = static_cast<unsigned>(below(3));
            run.percent = happens(60) ? 100 : static_cast<int>(below(100));
            run.percentChangedAt = near(-4500, 0);
            run.figure = static_cast<std::int64_t>(1 + below(60));
            task.lastRun = run.number;
            task.runs.push_back(run);
            task.isDone = happens(3);
            reserve(m_state, { ref, run.number }, run.worker);
            markDirty(m_state, job, fleetTime, false);
        }

        void addPermits(const StepRef& step)
        {
            auto& advice = m_state.advice[step];
            for (const auto& [id, worker] : m_state.workers) {
                if (happens(30))
                    advice.permits[id] = { "ticket", IncarnationTime(1), near(-500, 3000) };
                else if (happens(20))
                    advice.barred.insert(id);
            }
        }

        void vary(Worker& worker)
        {
            worker.hasSeenFence = happens(95);
            worker.missedPolls = happens(5) ? 2 : 0;
            worker.clockMs = 1000;
            worker.clockAt = fleetTime;
            worker.lastAnswerAt = near(-3100, 0);
            worker.reportedAt = worker.lastAnswerAt;
            worker.leaseEnd = near(-500, 8000);
            worker.health.isOnProbation = happens(10);
            worker.health.avoidUntil = happens(15) ? near(0, 1500) : MonotonicTime();
            worker.health.quarantinedUntil = happens(4) ? near(-100, 3000) : MonotonicTime();
            worker.refusedUntil = happens(4) ? near(-100, 400) : MonotonicTime();
            worker.drainingSince = near(-3000, 0);
            for (const auto& [image, count] : worker.servingImages)
                worker.minSlacks[image] = 0.8 + 0.01 * static_cast<double>(below(200));
            for (std::uint32_t i = 0; i < imageCount; ++i) {
                if (happens(5))
                    worker.paces[ImageNumber(i)] = static_cast<int>(below(100));
            }
        }

        void learn()
        {
            for (std::uint32_t serving = 0; serving < imageCount; ++serving) {
                for (std::uint32_t filling = 0; filling < imageCount; ++filling) {
                    const auto effect = static_cast<double>(below(12));
                    for (const auto use : { 0.0, 0.5, 1.0 }) {
                        if (happens(80))
                            m_state.interference.add({ ImageNumber(serving), 2.4 - effect * use, 0, { { ImageNumber(filling), use } } });
                    }
                }
            }
            m_state.interference.refit();
            m_state.refittedAt = fleetTime;
        }

        std::mt19937_64 m_random;
        State m_state;
    };

} // namespace

State makeRandomFleet(std::uint64_t seed) { return FleetGenerator(seed).make(); }

} // namespace kingcuploom::scheduler::test
