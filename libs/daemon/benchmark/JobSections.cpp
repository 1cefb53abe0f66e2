#include "FakeStore.h"
#include "Fleet.h"
#include "HttpWorkerPort.h"
#include "JobCoordinator.h"
#include "Sections.h"
#include "daemon/ShardRecords.h"
#include "schema/RecordCodec.h"

namespace kingcuploom::capacity {

namespace {

    constexpr std::uint64_t seed = 20261204;
    constexpr int workersPerShard = 53;

    class DroppingSink final : public AuditSink {
    public:
        void record(schema::AuditEventT) override { }
    };

    std::vector<ledger::ShardCapacity> makeCapacities(int shards)
    {
        constexpr std::int64_t much = 1'000'000'000;
        std::vector<ledger::ShardCapacity> capacities;
        for (int shard = 0; shard < shards; ++shard) {
            const ResourceAmounts free { CpuMillis(much), MemoryMb(much), Accelerators(1) };
            capacities.push_back({ shardName(shard), free, free });
        }
        return capacities;
    }

    schema::JobRecordT makePendingJob(std::uint32_t tasks)
    {
        auto record = makeAssignedJob(0, tasks, 1);
        for (auto& task : record.tasks)
            task->state = schema::TaskState::Pending;
        return record;
    }

    // A daemon's view of running jobs, as its coordinator sees them.
    class CoordinatorLoad {
    public:
        CoordinatorLoad(int jobs, int shards, int members)
            : m_ownership(members)
            , m_records(m_store, seed)
            , m_backoff(seed)
            , m_metrics(m_registry)
            , m_jobs(m_store, m_clock, m_backoff, seed)
            , m_workers(m_client, { Milliseconds(1000), Milliseconds(450) })
        {
            m_settings.daemon_id = "d0";
            for (int job = 0; job < jobs; ++job)
                put(JobBoard::keyOf(jobName(job)), schema::encode(makeAssignedJob(job, tasksPerJob, shards)));
            const int entries = jobs * tasksPerJob / shards;
            std::vector<schema::CapacityFigureT> free;
            for (int shard = 0; shard < shards; ++shard) {
                putShardRecord(m_store, makeShardRecord(shard, shards, entries, workersPerShard));
                static_cast<void>(m_records.refresh(shardName(shard)));
                free.push_back(makeCapacityFigure(shard, 100'000));
            }
            const auto before = heapBytes();
            static_cast<void>(m_jobs.reload());
            m_jobBytes = (heapBytes() - before) / jobs;
            m_capacities.update(free, m_clock.now());
        }

        void pass() { m_coordinator.pass(); }
        double jobBytes() const { return m_jobBytes; }

    private:
        void put(const std::string& key, const std::string& value)
        {
            static_cast<void>(m_store.compareAndSwap(key, Revision(), value, LeaseId()));
        }

        schema::SettingsT m_settings;
        ManualClock m_clock;
        testing::FakeStore m_store;
        FixedOwnership m_ownership;
        FixedConfig m_config;
        ShardRecords m_records;
        TargetCatalog m_targets;
        DroppingSink m_audit;
        prometheus::Registry m_registry;
        StoreBackoff m_backoff;
        TaskMetrics m_metrics;
        JobBoard m_jobs;
        http::HttpClient m_client;
        HttpWorkerPort m_workers;
        ShardTable m_table;
        CapacityTable m_capacities;
        double m_jobBytes = 0;
        JobCoordinator m_coordinator { { m_settings, m_clock, m_ownership, m_config, m_records, m_targets, m_audit, m_metrics, m_backoff,
                                           m_jobs, m_workers, m_table },
            m_capacities };
    };

} // namespace

void measureAssignment(Figures& figures)
{
    for (const std::uint32_t tasks : { 50U, 500U, 2500U }) {
        const auto job = makeAssignedJob(0, tasks, 128);
        const auto parameters = "tasks=" + std::to_string(tasks);
        const auto size = static_cast<double>(schema::encode(job).size());
        figures.push_back({ "job_record", parameters, "size", size, "bytes" });
        figures.push_back(
            { "job_record", parameters, "memory", heldBytes([&] { return std::make_unique<schema::JobRecordT>(job); }), "bytes" });
        figures.push_back(
            { "job_record", parameters, "encode", microsPerCall(50, [&](int) { static_cast<void>(schema::encode(job)); }), "us" });
        for (const int shards : { 16, 128, 256 }) {
            const auto pending = makePendingJob(tasks);
            const auto assign = microsPerCall(10, [&](int) {
                auto record = pending;
                auto capacities = makeCapacities(shards);
                ledger::RetryTimes retryTimes;
                ledger::assignTasks(record, { MonotonicTime(), capacities, retryTimes, [](const ResourceAmounts&) { return true; } });
            });
            figures.push_back({ "assignment", parameters + " shards=" + std::to_string(shards), "per task", assign / tasks, "us" });
        }
    }
}

void measureCoordinatorPass(Figures& figures)
{
    struct Size {
        int jobs;
        int shards;
        int members;
    };
    for (const auto size : { Size { 16, 16, 7 }, Size { 345, 128, 32 }, Size { 1380, 128, 7 }, Size { 1380, 128, 32 },
             Size { 1380, 128, 64 }, Size { 1380, 256, 32 } }) {
        CoordinatorLoad load(size.jobs, size.shards, size.members);
        const auto parameters = "jobs=" + std::to_string(size.jobs) + " tasks=" + std::to_string(size.jobs * tasksPerJob)
            + " shards=" + std::to_string(size.shards) + " members=" + std::to_string(size.members);
        figures.push_back({ "coordinator", parameters, "idle pass", microsPerCall(1, [&](int) { load.pass(); }), "us" });
        figures.push_back({ "coordinator", parameters, "memory per job", load.jobBytes(), "bytes" });
    }
}

} // namespace kingcuploom::capacity
