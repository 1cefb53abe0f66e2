#include "node/Records.h"

#include "Compression.h"
#include "scheduler/JobRecords.h"
#include "scheduler/Jobs.h"
#include "scheduler/Placement.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace kingcuploom;
using namespace kingcuploom::node;

namespace {

constexpr std::int64_t wallMs = 1'700'000'000'000;
constexpr MonotonicTime now { std::chrono::hours(1) };

schema::GraphJobSpecT makeSpec()
{
    schema::GraphJobSpecT spec;
    spec.job = "0123456789abcdef";
    spec.queue = "host/q/";
    spec.payload = "work";
    spec.accepted_at_ms = wallMs;
    spec.repeat_count = 9;
    spec.policy = std::make_unique<schema::QueuePolicyT>();
    spec.policy->service = "service";
    for (std::uint32_t i = 0; i < 2; ++i) {
        auto step = std::make_unique<schema::StepSpecT>();
        step->count = 2;
        step->cpu_millis = 100;
        if (i > 0)
            step->after.push_back(i - 1);
        spec.steps.push_back(std::move(step));
    }
    return spec;
}

schema::GraphJobProgressT makeProgress()
{
    schema::GraphJobProgressT progress;
    progress.job = makeSpec().job;
    progress.queue = makeSpec().queue;
    progress.state = schema::JobState::Running;
    for (std::uint32_t i = 0; i < 2; ++i) {
        auto task = std::make_unique<schema::TaskProgressT>();
        task->index = i;
        task->last_run = 1;
        task->runs.push_back(std::make_unique<schema::RunRecordT>());
        task->runs.back()->number = 1;
        task->runs.back()->worker = "w";
        progress.tasks.push_back(std::move(task));
    }
    progress.done_occurrences = { schema::OccurrenceRange(1, 2), schema::OccurrenceRange(4, 6) };
    return progress;
}

// Does with a record what a leader does that finds it in the store.
void load(std::shared_ptr<schema::GraphJobSpecT> spec, const schema::GraphJobProgressT* progress)
{
    scheduler::State state;
    scheduler::Orders orders;
    state.workers[scheduler::WorkerId("w")].id = scheduler::WorkerId("w");
    auto* job = scheduler::addJob(state, std::move(spec), progress, Revision(1), now, wallMs);
    scheduler::placeWaitingTasks(state, now, orders);
    (void)scheduler::makeProgressRecord(state, *job);
}

// Calls the visitor with each value that differs from the given one in one bit, and with each of its beginnings.
void visitDamaged(const std::string& value, const std::function<void(const std::string&)>& visit)
{
    for (std::size_t i = 0; i < value.size() * 8; ++i) {
        auto damaged = value;
        damaged[i / 8] = static_cast<char>(damaged[i / 8] ^ (1 << i % 8));
        visit(damaged);
    }
    for (std::size_t size = 0; size < value.size(); ++size)
        visit(value.substr(0, size));
}

} // namespace

// Guards against a record that ends the process of each leader that reads it: buffers that pass the verification can lack rows and the
// policy, name steps that do not exist, or ask for more tasks than fit into memory.
TEST_CASE("A damaged record of a job is refused or can be loaded")
{
    std::size_t loaded = 0;
    visitDamaged(encodeJob(makeSpec()), [&](const std::string& value) {
        if (auto spec = decodeJob(value)) {
            load(std::move(spec), nullptr);
            ++loaded;
        }
    });
    CHECK(loaded > 0);
    CHECK(decodeJob(encodeJob(makeSpec())));
}

TEST_CASE("A damaged record of a job's progress is refused or can be loaded")
{
    std::size_t loaded = 0;
    visitDamaged(encodeRecord<schema::GraphJobProgress>(makeProgress()), [&](const std::string& value) {
        if (const auto progress = decodeProgress(value)) {
            load(std::make_shared<schema::GraphJobSpecT>(makeSpec()), progress.get());
            ++loaded;
        }
    });
    CHECK(loaded > 0);
    CHECK(decodeProgress(encodeProgress(makeProgress())));
}

// As above, for the records of which a reader takes the rows one by one.
// TWICE: guards against a node of an earlier version that takes over a job with dropped occurrences and starts their tasks again. It reads
// a record that is not compressed as it is, and leaves a job alone whose record it cannot read.
TEST_CASE("A record with dropped occurrences cannot be read by earlier versions")
{
    auto progress = makeProgress();
    const auto value = encodeProgress(progress);
    const auto isReadableBefore = [](const std::string& record) {
        const auto content = decompress(record);
        return decodeRecord<schema::GraphJobProgress>(content ? *content : record) != nullptr;
    };
    CHECK_FALSE(isReadableBefore(value));
    const auto decoded = decodeProgress(value);
    REQUIRE(decoded);
    CHECK((*decoded == progress));
    // Any other record is written as before.
    progress.done_occurrences.clear();
    CHECK(isReadableBefore(encodeProgress(progress)));
}

TEST_CASE("Damaged records of counts and of the interference model are refused or can be read")
{
    schema::QueueCountsT counts;
    counts.counts.push_back(std::make_unique<schema::QueueCountT>());
    counts.counts.back()->queue = "host/q/";
    visitDamaged(encodeRecord<schema::QueueCounts>(counts), [](const std::string& value) {
        if (const auto decoded = decodeCounts(value)) {
            for (const auto& row : decoded->counts)
                CHECK(row);
        }
    });
    schema::LearnedInterferenceT learned;
    learned.models.push_back(std::make_unique<schema::LearnedSlackT>());
    learned.models.back()->serving = "image";
    learned.models.back()->effects.push_back(std::make_unique<schema::LearnedEffectT>());
    visitDamaged(encodeRecord<schema::LearnedInterference>(learned), [](const std::string& value) {
        scheduler::InterferenceModel model;
        if (const auto decoded = decodeInterference(value))
            model.importModels(*decoded);
    });
}
