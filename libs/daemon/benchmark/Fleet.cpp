#include "Fleet.h"

#include "ShardLogKeys.h"
#include "schema/RecordCodec.h"

#include <cstdio>

namespace kingcuploom::capacity {

namespace {

    constexpr int domains = 12;
    constexpr int teams = 65;

    std::string numbered(const char* format, int first, int second = 0)
    {
        char buf[64];
        std::snprintf(buf, sizeof(buf), format, first, second);
        return buf;
    }

    std::unique_ptr<schema::LedgerEntryT> makeEntry(int shard, int shards, int number, int workers)
    {
        auto entry = std::make_unique<schema::LedgerEntryT>();
        // The tasks of this shard in the order of jobs: task numbers that are the shard's modulo the number of shards.
        const int task = shard + number * shards;
        const auto spec = makeJobSpec(task / tasksPerJob, tasksPerJob);
        entry->job = spec.name;
        entry->index = static_cast<std::uint32_t>(task % tasksPerJob);
        entry->attempt = 1;
        entry->state = schema::TaskState::Running;
        entry->worker = vmName(shard, number % workers).value();
        entry->team = spec.team;
        entry->class_name = spec.class_name;
        entry->kind = spec.kind;
        entry->cpu_millis = spec.cpu_millis;
        entry->memory_mb = spec.memory_mb;
        entry->work_ms = spec.work_ms;
        return entry;
    }

} // namespace

ShardId shardName(int shard)
{
    return ShardId(numbered("region%d-domain%d", shard % domains / 2, shard % 2) + numbered(".group%02d", shard / domains));
}

VmId vmName(int shard, int vm) { return VmId(numbered("worker-%03d-%03d", shard, vm)); }

JobName jobName(int job) { return JobName(numbered("recipe-batch-2026-12-%06d", job)); }

TeamName teamName(int team) { return TeamName(numbered("workshop-team-%02d", team % teams)); }

schema::JobSpecT makeJobSpec(int job, std::uint32_t tasks)
{
    schema::JobSpecT spec;
    spec.name = jobName(job).value();
    spec.team = teamName(job).value();
    spec.class_name = numbered("recipe-class-%02d", job % 40);
    spec.task_count = tasks;
    spec.cpu_millis = 1500;
    spec.memory_mb = 4096;
    spec.work_ms = 10000;
    return spec;
}

schema::JobRecordT makeAssignedJob(int job, std::uint32_t tasks, int shards)
{
    schema::JobRecordT record;
    record.spec = std::make_unique<schema::JobSpecT>(makeJobSpec(job, tasks));
    record.submitted_by = "operator-of-the-workshop";
    for (std::uint32_t index = 0; index < tasks; ++index) {
        auto task = std::make_unique<schema::JobTaskT>();
        task->attempt = 1;
        task->shard
            = shardName(static_cast<int>((static_cast<std::uint32_t>(job) * tasks + index) % static_cast<std::uint32_t>(shards))).value();
        task->state = schema::TaskState::Assigned;
        record.tasks.push_back(std::move(task));
    }
    return record;
}

schema::ShardRecordT makeShardRecord(int shard, int shards, int entries, int workers)
{
    schema::ShardRecordT record;
    record.shard = shardName(shard).value();
    record.owner = "entry-daemon-01";
    record.owner_incarnation = 1764800000;
    record.owner_link_address = "10.20.30.40:8081";
    record.epoch = 7;
    for (int number = 0; number < entries; ++number)
        record.entries.push_back(makeEntry(shard, shards, number, workers));
    return record;
}

void putShardRecord(store::Store& store, const schema::ShardRecordT& record)
{
    schema::ShardBaseT base;
    base.number = 1;
    base.revision = 1;
    base.record = std::make_unique<schema::ShardRecordT>(record);
    static_cast<void>(store.compareAndSwap(shardBaseKey(ShardId(record.shard)), Revision(), schema::encode(base)));
}

schema::LoadFigureT makeLoadFigure(int shard, int service)
{
    schema::LoadFigureT figure;
    figure.shard = shardName(shard).value();
    figure.service = numbered("pattern-proofs-%02d", service);
    figure.epoch = 7;
    figure.free_slots = 40;
    figure.total_slots = 400;
    figure.queued = 3;
    return figure;
}

schema::CapacityFigureT makeCapacityFigure(int shard, std::int64_t freeCpuMillis)
{
    schema::CapacityFigureT figure;
    figure.shard = shardName(shard).value();
    figure.epoch = 7;
    figure.free_cpu_millis = freeCpuMillis;
    figure.free_memory_mb = freeCpuMillis * 4;
    figure.free_accelerators = 4;
    figure.largest_cpu_millis = freeCpuMillis;
    figure.largest_memory_mb = freeCpuMillis * 4;
    return figure;
}

FixedOwnership::FixedOwnership(int members)
{
    for (int i = 0; i < members; ++i)
        m_members.push_back({ DaemonId("d" + std::to_string(i)), FailureDomain("region0-domain0"), false });
}

} // namespace kingcuploom::capacity
