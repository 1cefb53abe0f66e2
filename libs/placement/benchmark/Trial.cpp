#include "Trial.h"

#include "DomainPhases.h"
#include "FirstFit.h"
#include "Input.h"
#include "TrialState.h"
#include "placement/Checkpoints.h"
#include "placement/FairShare.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <numeric>

namespace kingcuploom::trial {

namespace {

    using namespace placement;

    const FailureDomain changingDomain("d0");

    class Trial {
    public:
        Trial(const Site& site, const Variant& variant, std::uint64_t seed)
            : m_site(site)
            , m_variant(variant)
            , m_input(makeInput(site, seed, variant.lossesPerWorkerHour))
            , m_noise(seed * 7919)
            , m_workers(std::size_t(site.workers))
        {
            for (int i = 0; i < site.workers; ++i) {
                const int rack = i / site.workersPerRack;
                WorkerView worker { VmId("vm" + std::to_string(i)), FailureDomain("d" + std::to_string(rack % site.domains)),
                    Rack("r" + std::to_string(rack)), vmSize };
                m_view.workers.push_back(worker);
                m_total += vmSize;
            }
            m_view.policy = variant.policy;
            m_view.interference = &m_model;
            for (const auto& standing : m_input.standing)
                m_tasks.push_back({ standing, -1, double(standing.demand.cpu.value()) / 1000 });
        }

        Result run()
        {
            for (m_second = 0; m_second < trialSeconds; ++m_second) {
                if (m_variant.decisions == Decisions::Oracle)
                    fillModel();
                changeDomain();
                loseWorkers();
                arrive();
                place();
                countOvercommit();
                progress();
                measure();
                control();
                learnSizes();
                relieve();
            }
            return summary();
        }

    private:
        void fillModel()
        {
            for (std::size_t s = 0; s < services.size(); ++s) {
                for (std::size_t c = 0; c < m_input.classes.size(); ++c)
                    m_model.pairs[services[s]][m_input.classes[c].name].mean = trueEffect(m_input, s, c, m_second);
            }
        }

        bool isInDomain(std::size_t worker) const { return m_view.workers[worker].domain == changingDomain; }

        void changeDomain()
        {
            if (m_second == domainOutAt)
                m_view.outOfService.insert(changingDomain);
            if (m_second == domainBackAt)
                m_view.outOfService.clear();
            if (!m_view.outOfService.empty())
                moveTasks();
        }

        // Each rack is a shard, which moves its own tasks.
        void moveTasks()
        {
            const double perSecond = m_variant.policy.moves_per_minute / 60.0;
            std::map<Rack, double> moved;
            for (auto& task : m_tasks) {
                if (!task.worker || !isInDomain(*task.worker))
                    continue;
                auto& ofRack = moved[m_view.workers[*task.worker].rack];
                if (m_variant.isPaced && ofRack + 1 > perSecond)
                    continue;
                ++ofRack;
                // Operators announce it, so tasks checkpoint before they leave and lose nothing.
                task.checkpoint = task.done;
                release(task);
                m_phases.addMove(m_second);
            }
        }

        // A lost worker is replaced by an empty one.
        void loseWorkers()
        {
            const auto& lost = m_input.lostWorkers[std::size_t(m_second)];
            noteWorkers(m_losses, m_workers.size(), std::chrono::seconds(1), lost.size());
            for (const auto index : lost)
                m_workers[index].backAt = m_second + replaceSeconds;
            for (std::size_t i = 0; i < m_workers.size(); ++i)
                m_view.workers[i].leaving = m_second < m_workers[i].backAt;
            for (auto& task : m_tasks) {
                if (task.worker && m_view.workers[*task.worker].leaving)
                    loseWork(task);
            }
        }

        void arrive()
        {
            for (const auto& arrival : m_input.arrivals[std::size_t(m_second)]) {
                const auto& jobClass = m_input.classes[std::size_t(arrival.classIndex)];
                const PlacementTask task { { JobName("job" + std::to_string(m_nextJob++)), 0 }, arrival.team, jobClass.name,
                    schema::JobKind::Batch, jobClass.declared, std::chrono::seconds(15) };
                m_tasks.push_back({ task, arrival.classIndex, double(jobClass.declared.cpu.value()) / 1000, arrival.runSeconds });
                m_tasks.back().waitsSince = m_second;
            }
        }

        void rebuildView()
        {
            for (auto& worker : m_view.workers) {
                worker.inUse = {};
                worker.tasksOfJob.clear();
                worker.services.clear();
                worker.batchLoads.clear();
            }
            m_shares.clear();
            m_unreported.clear();
            m_view.racksOfJob.clear();
            for (const auto& task : m_tasks) {
                if (!task.worker)
                    continue;
                auto& worker = m_view.workers[*task.worker];
                worker.inUse += useOf(task);
                ++worker.tasksOfJob[task.task.task.job];
                ++m_view.racksOfJob[task.task.task.job][worker.rack];
                m_shares[task.task.team].inUse += task.task.demand;
                m_unreported[task.classIndex] += isUnreported(task);
                if (task.classIndex < 0)
                    worker.services.emplace(task.task.className, 0);
                else
                    worker.batchLoads[task.task.className] += task.share / 1000.0;
            }
            for (auto& worker : m_view.workers) {
                for (auto& [service, slowdown] : worker.services)
                    slowdown = logSlowdownOf(m_model, service, worker.batchLoads);
            }
        }

        // Usage is known once it has been reported; until then the reserve counts.
        ResourceAmounts useOf(const Task& task) const
        {
            if (task.classIndex < 0 || m_variant.decisions == Decisions::FirstFit)
                return task.task.demand;
            if (isUnreported(task))
                return largerOf(task.reserve, demandToReserve(task.task.demand, {}, correctionOf(task)));
            return largerOf(task.task.demand, m_input.classes[std::size_t(task.classIndex)].used);
        }

        ClassCorrection correctionOf(const Task& task) const
        {
            const auto it = m_corrections.find(task.classIndex);
            return it == m_corrections.end() ? ClassCorrection() : it->second;
        }

        bool isUnreported(const Task& task) const { return m_second - task.startsAt < longestLag; }

        void learnSizes()
        {
            for (const auto& task : m_tasks) {
                if (task.worker && task.classIndex >= 0 && m_second - task.startsAt == longestLag)
                    learn(m_corrections[task.classIndex],
                        TaskObservation { task.task.demand, m_input.classes[std::size_t(task.classIndex)].used, {}, {} });
            }
        }

        void countOvercommit()
        {
            std::vector<ResourceAmounts> declared(m_workers.size());
            std::vector<ResourceAmounts> used(m_workers.size());
            for (const auto& task : m_tasks) {
                if (!task.worker)
                    continue;
                declared[*task.worker] += task.task.demand;
                used[*task.worker] += task.classIndex < 0 ? task.task.demand : m_input.classes[std::size_t(task.classIndex)].used;
            }
            m_result.overcommittedSeconds += double(std::ranges::count_if(used, [](const auto& use) { return !fits(use, vmSize); }));
            for (const auto& amounts : declared) {
                m_result.peakAssigned = std::max({ m_result.peakAssigned, double(amounts.cpu.value()) / double(vmSize.cpu.value()),
                    double(amounts.memory.value()) / double(vmSize.memory.value()) });
            }
        }

        void relieve()
        {
            if (m_variant.decisions == Decisions::FirstFit)
                return;
            const auto running = runningTasks();
            for (const auto& worker : m_view.workers) {
                for (const auto& victim : chooseOvercommitVictims(worker, running))
                    evict(victim, m_result.overcommitEvictions);
            }
        }

        void place()
        {
            rebuildView();
            std::vector<Task*> waiting;
            for (auto& task : m_tasks) {
                if (!task.worker)
                    waiting.push_back(&task);
            }
            std::vector<PlacementTask> tasks;
            std::ranges::transform(waiting, std::back_inserter(tasks), [](const Task* task) { return task->task; });
            std::set<std::string> refused;
            for (const auto index : orderByFairShare(m_shares, tasks, m_total)) {
                auto& task = *waiting[index];
                // Tasks of one class have the same size, so a refusal holds for the rest of the class.
                if (refused.contains(task.task.className))
                    continue;
                if (!placeOne(task) && !(task.classIndex < 0 && preempt(task)))
                    refused.insert(task.task.className);
            }
            for (auto* task : waiting) {
                if (task->worker || task->classIndex >= 0 || task->isLate || m_second - task->waitsSince < 2)
                    continue;
                task->isLate = true;
                ++m_result.lateUrgentStarts;
            }
        }

        std::optional<ReservedChoice> choose(const Task& task)
        {
            if (m_variant.decisions == Decisions::FirstFit)
                return firstFit(m_view, task.task, timeAt(m_second));
            const auto now = timeAt(m_second);
            if (task.classIndex < 0) {
                const auto worker = chooseWorker(m_view, task.task, now);
                return worker ? std::optional(ReservedChoice { *worker, task.task.demand }) : std::nullopt;
            }
            const auto choice = chooseWithReserve(m_view, task.task, correctionOf(task), m_unreported[task.classIndex], now);
            return choice ? std::optional(*choice) : std::nullopt;
        }

        bool placeOne(Task& task)
        {
            const auto choice = choose(task);
            if (!choice)
                return false;
            addTask(m_view, choice->worker, task.task, choice->reserve);
            task.worker = choice->worker;
            task.reserve = choice->reserve;
            task.startsAt = m_second + (task.done > 0 ? restartSeconds : 0);
            task.share = 1000;
            ++m_unreported[task.classIndex];
            if (isInDomain(choice->worker))
                m_phases.addStart(m_second);
            return true;
        }

        std::vector<RunningTask> runningTasks() const
        {
            std::vector<RunningTask> running;
            for (const auto& task : m_tasks) {
                if (!task.worker)
                    continue;
                running.push_back({ task.task.task, task.task.team, task.task.kind, m_view.workers[*task.worker].vm, useOf(task),
                    std::chrono::milliseconds(std::int64_t(1000 * (task.done - task.checkpoint))) });
            }
            return running;
        }

        bool preempt(Task& urgent)
        {
            const auto running = runningTasks();
            const auto choice = choosePreemption(m_view, urgent.task, running, m_shares, m_total, timeAt(m_second));
            if (!choice)
                return false;
            for (const auto& victim : choice->victims)
                evict(victim, m_result.preemptions);
            rebuildView();
            return placeOne(urgent);
        }

        void release(Task& task)
        {
            task.worker.reset();
            task.waitsSince = m_second;
            task.isLate = false;
        }

        void loseWork(Task& task)
        {
            const double lost = (task.done - task.checkpoint) * task.cores;
            m_result.lostWork += lost;
            m_work -= lost;
            m_phases.addWork(m_second, -lost);
            task.done = task.checkpoint;
            release(task);
        }

        void evict(const TaskId& id, double& counter)
        {
            loseWork(*std::ranges::find(m_tasks, id, [](const Task& task) { return task.task.task; }));
            ++counter;
        }

        void checkpoint(Task& task)
        {
            task.checkpoint = task.done;
            task.checkpointsUntil = m_second + 1 + m_variant.checkpointCostSeconds;
            ++m_result.checkpoints;
            m_result.checkpointWork += m_variant.checkpointCostSeconds * task.cores;
        }

        void decideCheckpoints()
        {
            std::vector<std::vector<CheckpointCandidate>> candidates(m_workers.size());
            std::map<TaskId, Task*> tasks;
            for (auto& task : m_tasks) {
                if (!task.worker || task.classIndex < 0)
                    continue;
                tasks[task.task.task] = &task;
                candidates[*task.worker].push_back(
                    { task.task.task, std::chrono::milliseconds(std::int64_t(1000 * (task.done - task.checkpoint))),
                        std::chrono::seconds(m_variant.checkpointCostSeconds), m_second + 1 < task.checkpointsUntil });
            }
            for (const auto& ofWorker : candidates) {
                for (const auto& id : chooseCheckpoints(ofWorker, m_losses, m_variant.policy))
                    checkpoint(*tasks.at(id));
            }
        }

        void progress()
        {
            for (auto& task : m_tasks) {
                if (!task.worker || task.classIndex < 0 || m_second < task.startsAt || m_second < task.checkpointsUntil)
                    continue;
                const double step = std::min(task.share / 1000.0, task.runSeconds - task.done);
                task.done += step;
                m_work += step * task.cores;
                m_phases.addWork(m_second, step * task.cores);
                if (m_variant.checkpoints == Checkpoints::Fixed && task.done - task.checkpoint >= checkpointSeconds)
                    checkpoint(task);
            }
            if (m_variant.checkpoints == Checkpoints::Decided)
                decideCheckpoints();
            m_tasks.remove_if([](const Task& task) { return task.classIndex >= 0 && task.done >= task.runSeconds; });
        }

        void measure()
        {
            rebuildView();
            for (std::size_t w = 0; w < m_workers.size(); ++w) {
                auto& past = m_workers[w].past;
                past.emplace_back();
                for (const auto& [service, predicted] : m_view.workers[w].services)
                    past.back().slowdowns[service] = trueSlowdown(m_input, service, m_view.workers[w].batchLoads, m_second);
                if (past.size() > longestLag + 1)
                    past.pop_front();
                notePresence(m_workers[w].presence, timeAt(m_second), m_view.workers[w].batchLoads);
            }
            for (const auto& task : m_tasks) {
                if (task.classIndex >= 0 || !task.worker || m_second < warmUpSeconds)
                    continue;
                const double latency = m_workers[*task.worker].past.back().slowdowns.at(task.task.className) * latencyNoise(m_noise);
                m_latencies.push_back(latency);
                m_phases.addLatency(m_second, latency);
            }
        }

        void control()
        {
            if (m_variant.decisions == Decisions::FirstFit)
                return;
            const auto now = timeAt(m_second);
            refill(m_budget, m_variant.policy, now);
            for (std::size_t w = 0; w < m_workers.size(); ++w) {
                const int lag = 2 + int(m_noise.below(longestLag - 1));
                controlWorker(w, m_variant.decisions == Decisions::Oracle ? 0 : lag);
            }
        }

        void controlWorker(std::size_t index, int lag)
        {
            auto& worker = m_workers[index];
            if (int(worker.past.size()) <= lag)
                return;
            WorkerReport report;
            report.canThrottle = m_variant.canThrottle;
            report.measuredAt = timeAt(m_second - lag);
            if (const auto* loads = presentAt(worker.presence, report.measuredAt))
                report.loadsThen = *loads;
            for (const auto& [service, slowdown] : worker.past[worker.past.size() - 1 - std::size_t(lag)].slowdowns) {
                const double noise = measurementNoise(m_noise);
                report.slowdowns[service] = m_variant.decisions == Decisions::Oracle ? slowdown : slowdown * noise;
                if (m_variant.decisions == Decisions::Learned)
                    learn(m_model, worker.presence, { service, report.slowdowns[service], std::chrono::seconds(lag) }, timeAt(m_second));
            }
            std::map<TaskId, Task*> tasks;
            for (auto& task : m_tasks) {
                if (task.worker != index || task.classIndex < 0)
                    continue;
                tasks[task.task.task] = &task;
                report.batch.push_back({ task.task.task, task.task.className, task.share,
                    std::chrono::milliseconds(std::int64_t(1000 * (task.done - task.checkpoint))) });
            }
            for (const auto& action : decide(worker.controller, m_budget, report, m_model, m_variant.policy, timeAt(m_second))) {
                if (action.kind == ControlKind::CheckpointAndEvict) {
                    evict(action.task, m_result.evictions);
                    continue;
                }
                m_result.throttles += action.kind == ControlKind::Throttle;
                tasks.at(action.task)->share = action.sharePerMille;
            }
        }

        Result summary()
        {
            std::ranges::sort(m_latencies);
            const auto quantile = [&](double q) { return m_latencies[std::size_t(q * double(m_latencies.size() - 1))]; };
            m_result.serviceP50 = quantile(0.5);
            m_result.serviceP99 = quantile(0.99);
            const double cores = double(m_total.cpu.value()) / 1000;
            m_result.throughput = m_work / (cores * trialSeconds);
            m_phases.fill(m_result, cores);
            return m_result;
        }

        Site m_site;
        Variant m_variant;
        Input m_input;
        Random m_noise;
        std::map<int, ClassCorrection> m_corrections;
        // Running tasks by class whose use has not been reported.
        std::map<int, std::size_t> m_unreported;
        InterferenceModel m_model;
        PlacementView m_view;
        TeamShares m_shares;
        ResourceAmounts m_total;
        WorkerLossRate m_losses;
        EvictionBudget m_budget { 0, timeAt(0) };
        std::vector<Worker> m_workers;
        std::list<Task> m_tasks;
        std::vector<double> m_latencies;
        double m_work = 0;
        DomainPhases m_phases;
        int m_nextJob = 0;
        int m_second = 0;
        Result m_result;
    };

} // namespace

Result runTrial(const Site& site, const Variant& variant, std::uint64_t seed) { return Trial(site, variant, seed).run(); }

} // namespace kingcuploom::trial
