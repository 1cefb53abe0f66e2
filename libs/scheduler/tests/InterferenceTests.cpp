#include "SchedulerWorld.h"
#include "scheduler/Fleet.h"
#include "scheduler/Health.h"
#include "scheduler/Inventory.h"
#include "scheduler/Pacing.h"
#include "scheduler/Polls.h"
#include "scheduler/Reservations.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;
using namespace kingcuploom::scheduler::test;

namespace {

InterferenceModel learnedModel(ImageNumber serving, ImageNumber disturbing, ImageNumber harmless)
{
    InterferenceModel model;
    model.getImageNumber("serving");
    model.getImageNumber("disturbing");
    model.getImageNumber("harmless");
    std::mt19937_64 random(7);
    std::uniform_real_distribution<> use(0, 0.3);
    std::uniform_real_distribution<> noise(-0.2, 0.2);
    for (int i = 0; i < 400; ++i) {
        const auto a = use(random);
        const auto b = use(random);
        model.add({ serving, 2.4 - 5.0 * a + noise(random), 0, { { disturbing, a }, { harmless, b } } });
    }
    model.refit();
    return model;
}

} // namespace

TEST_CASE("The model distinguishes the pair that interferes from the one that does not")
{
    // Guards against throttling all filling tasks of a worker alike, which left them almost no throughput under the heaviest loads.
    const ImageNumber serving(0);
    const ImageNumber disturbing(1);
    const ImageNumber harmless(2);
    const auto model = learnedModel(serving, disturbing, harmless);
    CHECK(model.effect(serving, disturbing) == Approx(5.0).margin(0.8));
    CHECK(model.effect(serving, harmless) < 0.8);
    CHECK(model.ownSlack(serving) == Approx(2.4).margin(0.2));
}

TEST_CASE("What a filling image does to one serving image is expected of it with another one as well")
{
    // Guards against placing a filling image that disturbs beside each serving image once before it counts as one that does (load: many
    // images, of which a scheduler sees each pair for the first time).
    const ImageNumber serving(0);
    const ImageNumber disturbing(1);
    const ImageNumber harmless(2);
    auto model = learnedModel(serving, disturbing, harmless);
    const auto other = model.getImageNumber("other serving");
    const auto unseen = model.getImageNumber("unseen filling");
    model.refit();
    CHECK(model.effect(other, disturbing) > 3.5);
    CHECK(model.effect(other, harmless) < 1.5);
    CHECK(model.effect(serving, unseen) > 1.5);
    // Samples of the pair itself decide once there are some.
    for (int i = 0; i < 400; ++i)
        model.add({ other, 2.4, 0, { { disturbing, 0.3 } } });
    for (int i = 0; i < 400; ++i)
        model.add({ other, 2.4, 0, { { disturbing, 0.0 } } });
    model.refit();
    CHECK(model.effect(other, disturbing) < 0.5);
}

TEST_CASE("A scheduler starts from the models of its predecessor and continues to learn")
{
    // Guards against losing the learned effects with a change of the leader: in the seconds after it, a twentieth to a half of the serving
    // tasks were over their limit.
    const auto before = learnedModel(ImageNumber(0), ImageNumber(1), ImageNumber(2));
    InterferenceModel after;
    // Image numbers differ between schedulers.
    after.getImageNumber("other");
    after.importModels(before.exportModels());
    const auto serving = after.getImageNumber("serving");
    const auto disturbing = after.getImageNumber("disturbing");
    CHECK(after.effect(serving, disturbing) == Approx(5.0).margin(0.8));
    CHECK(after.effect(serving, after.getImageNumber("harmless")) < 0.8);
    CHECK(after.ownSlack(serving) == Approx(2.4).margin(0.2));
    // The image has changed and no longer interferes.
    for (int i = 0; i < 1500; ++i) {
        after.add({ serving, 2.4, 0, { { disturbing, 0.1 + 0.1 * (i % 3) } } });
        if (i % 20 == 0)
            after.refit();
    }
    CHECK(after.effect(serving, disturbing) < 1.0);
}

TEST_CASE("Serving tasks of the same image are placed together")
{
    // Guards against serving all images on every worker, where no filling image finds a worker without a task that it interferes with.
    SchedulerWorld world(4);
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 1500, .isLongRunning = true, .targetMs = 10, .image = "one" }));
    world.submit(makeJobSpec("b", { .counts = { 2 }, .cpuMillis = 1500, .isLongRunning = true, .targetMs = 10, .image = "two" }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 2 && world.runningCount("b") == 2; }, Milliseconds(2000)));
    for (const auto& [id, worker] : world.state().workers)
        CHECK(worker.servingImages.size() <= 1);
}

namespace {

// One worker with a serving task and a filling task that interferes with it; each poll reports readings of both.
class SharedWorker {
public:
    SharedWorker()
    {
        Orders orders;
        onWorkerListed(m_state, m_entry, m_now, orders);
        addRunningTask("s", { .counts = { 1 }, .isLongRunning = true, .targetMs = limitMs, .image = "serving" });
        addRunningTask("f", { .counts = { 1 }, .cpuMillis = 3200, .estimateMs = 60'000, .isFilling = true, .image = "filling" });
    }

    // The filling task uses a fifth of the worker's CPU at full pace.
    void look(std::int64_t tailMs, std::int64_t fillingCpuMillis)
    {
        m_now += Milliseconds(500);
        const PollReport report { m_entry.born, 1, { { m_serving, {}, 100, tailMs }, { m_filling, {}, 5, fillingCpuMillis } }, {} };
        Orders orders;
        onPollReport(m_state, m_entry.id, report, m_now - Milliseconds(5), m_now, 0, orders);
    }

    void importEffect(float effect)
    {
        schema::LearnedInterferenceT learned;
        learned.models.push_back(std::make_unique<schema::LearnedSlackT>());
        auto& slack = *learned.models.back();
        slack.serving = "serving";
        slack.own = 2.6F;
        slack.own_weight = 1000;
        slack.effects.push_back(std::make_unique<schema::LearnedEffectT>());
        slack.effects.back()->image = "filling";
        slack.effects.back()->coefficient = -effect;
        slack.effects.back()->weight = 1000;
        m_state.interference.importModels(learned);
    }

    int fillingPace() { return findRun(m_state, m_filling)->pace; }

    static constexpr std::uint32_t limitMs = 10;

private:
    void addRunningTask(const std::string& name, const JobOptions& options)
    {
        auto* job = addJob(m_state, makeJobSpec(name, options), nullptr, {}, m_now, 0);
        Run run;
        run.number = RunNumber(1);
        run.worker = m_entry.id;
        run.born = m_entry.born;
        run.phase = RunPhase::Running;
        run.startConfirmedAt = m_now;
        job->occurrences.at(0).steps[0].tasks[0].runs.push_back(run);
        reserve(m_state, { { job->id, 0, 0, 0 }, run.number }, m_entry.id);
    }

    State m_state;
    MonotonicTime m_now { std::chrono::hours(1) };
    WorkerEntry m_entry { WorkerId("w"), IncarnationTime(1), ServiceName("service"), Address("a:1"), FailureDomain("d"), Rack("r"), {},
        { 16'000, 64'000, 0 }, false };
    const RunRef m_serving { { GraphJobId("s"), 0, 0, 0 }, RunNumber(1) };
    const RunRef m_filling { { GraphJobId("f"), 0, 0, 0 }, RunNumber(1) };
};

} // namespace

TEST_CASE("All filling tasks of a worker are paused when a serving task stays over its limit")
{
    // Guards against a serving task that stays over its limit for four seconds because of interference that the model does not explain.
    SharedWorker worker;
    for (int i = 0; i < 6; ++i)
        worker.look(15, 200);
    CHECK(worker.fillingPace() == 0);
}

TEST_CASE("Filling tasks are paced before the rising load of a serving task uses up its slack")
{
    // Guards against pacing from readings that are half a second old: with each load peak, one every ten seconds, the serving task was over
    // its limit for a while.
    SharedWorker steady;
    steady.importEffect(5);
    SharedWorker rising;
    rising.importEffect(5);
    // Both end at the same reading, which the second one reaches with a rising load.
    for (const std::int64_t tailMs : { 8, 8, 8, 8 })
        steady.look(tailMs, 3200);
    for (const std::int64_t tailMs : { 4, 5, 6, 8 })
        rising.look(tailMs, 3200);
    CHECK(steady.fillingPace() == 100);
    CHECK(rising.fillingPace() < 80);
}

TEST_CASE("A worker on which tasks of several jobs fail is quarantined, but not for a job that fails everywhere")
{
    SchedulerWorld world(6);
    auto& state = world.state();
    world.submit(makeJobSpec("a", { .counts = { 1 } }));
    world.submit(makeJobSpec("b", { .counts = { 1 } }));
    world.run(Milliseconds(100));
    auto& worker = state.workers.begin()->second;
    Orders orders;
    const MonotonicTime now { std::chrono::hours(2) };
    Task fresh;
    recordRunEnd(state, worker, state.jobs.at(GraphJobId("a")), fresh, {}, EndKind::Failed, now, orders);
    CHECK(worker.health.quarantinedUntil < now);
    Task failedElsewhere;
    failedElsewhere.failures = 1;
    recordRunEnd(state, worker, state.jobs.at(GraphJobId("b")), failedElsewhere, {}, EndKind::Failed, now, orders);
    CHECK(worker.health.quarantinedUntil < now);
    recordRunEnd(state, worker, state.jobs.at(GraphJobId("b")), fresh, {}, EndKind::Failed, now, orders);
    CHECK(worker.health.quarantinedUntil > now);
}

TEST_CASE("All runs on a worker end when two inventories of the platform omit it, but not while it is only silent")
{
    // Guards against lost serving time: each new leader waited for the maximum lease of workers that had crashed long before.
    SchedulerWorld world(2);
    world.submit(makeJobSpec("a", { .counts = { 2 }, .cpuMillis = 3000, .isLongRunning = true }));
    REQUIRE(world.runUntil([&] { return world.runningCount("a") == 2; }, Milliseconds(1000)));
    // The leader has the answers to the starts, none of which is on its way any more.
    world.run(Milliseconds(100));
    auto& state = world.state();
    const auto now = state.workers.begin()->second.lastAnswerAt + Milliseconds(1000);
    Orders orders;
    const Inventory inventory { { VmId("vm1"), SchedulerWorld::workerId(1), VmState::Up } };
    onInventory(state, inventory, now, now, orders);
    CHECK(state.workers.at(SchedulerWorld::workerId(0)).runs.size() == 1);
    onInventory(state, inventory, now, now, orders);
    CHECK(state.workers.at(SchedulerWorld::workerId(0)).runs.empty());
    CHECK(state.workers.at(SchedulerWorld::workerId(1)).runs.size() == 1);
}
