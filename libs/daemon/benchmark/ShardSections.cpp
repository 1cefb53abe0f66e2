#include "FakeStore.h"
#include "Fleet.h"
#include "Sections.h"
#include "ShardLogKeys.h"
#include "StoreStandin.h"
#include "daemon/ShardRecords.h"
#include "ledger/ShardChange.h"
#include "ledger/ShardLedger.h"
#include "ledger/TaskStates.h"
#include "placement/Placement.h"
#include "schema/RecordCodec.h"
#include "store/EtcdStore.h"

#include <condition_variable>
#include <mutex>
#include <numeric>

namespace kingcuploom::capacity {

namespace {

    constexpr int plannedShards = 128;
    constexpr int workersPerShard = 53;
    // 61 transitions a second in two commits: as many starts as ends.
    constexpr int plannedMoves = 16;
    constexpr std::uint64_t seed = 20261204;

    std::string entriesText(int entries) { return "entries=" + std::to_string(entries); }

    placement::PlacementView makeView()
    {
        placement::PlacementView view;
        for (int vm = 0; vm < workersPerShard; ++vm)
            view.workers.push_back({ vmName(0, vm), FailureDomain("region0-domain0"), Rack("rack"),
                { CpuMillis(1'000'000), MemoryMb(10'000'000), Accelerators(1) }, {}, false, false, {}, {} });
        return view;
    }

    // A shard under constant load. Each commit prunes the ends of the one before it, records as many ends, notes that the tasks placed by
    // the one before it run, and takes in and places as many new tasks.
    class CommitLoad {
    public:
        CommitLoad(store::Store& store, int entries, int moves)
            : m_moves(moves)
            , m_records(store, seed)
        {
            putShardRecord(store, makeShardRecord(0, plannedShards, entries, workersPerShard));
            static_cast<void>(m_records.refresh(m_shard));
            m_nextTask = entries;
        }

        bool commit()
        {
            return m_records.update(m_shard, [this](auto& record) { return apply(record) > 0; }).has_value();
        }

    private:
        unsigned apply(schema::ShardRecordT& record)
        {
            // The daemon keeps a copy of the record before the change, for the audit.
            const schema::ShardRecordT before = record;
            auto changes = ledger::pruneEnded(
                record, [](const JobName&) { return ledger::JobEntry(); }, Revision(1));
            changes += ledger::applyOutcomes(record, outcomesOf(record));
            changes += ledger::takeInAssigned(record, nextTasks(), Revision(1));
            return changes + place(record);
        }

        ledger::Outcomes outcomesOf(const schema::ShardRecordT& record) const
        {
            ledger::Outcomes outcomes;
            int ends = 0;
            for (const auto& entry : record.entries) {
                if (entry->state == schema::TaskState::Starting)
                    outcomes[ledger::keyOf(*entry)] = { schema::TaskState::Running, schema::EndReason::None, 0 };
                else if (entry->state == schema::TaskState::Running && ends++ < m_moves)
                    outcomes[ledger::keyOf(*entry)] = { schema::TaskState::Finished, schema::EndReason::WorkFinished, 0 };
            }
            return outcomes;
        }

        std::vector<ledger::AssignedTask> nextTasks()
        {
            std::vector<ledger::AssignedTask> tasks;
            for (int i = 0; i < m_moves; ++i) {
                const int number = m_nextTask++;
                const ledger::JobEntry job { std::make_shared<schema::JobRecordT>(makeAssignedJob(number, 1, 1)), Revision(1) };
                tasks.push_back({ { { jobName(number), 0 }, Attempt(1) }, 0, false, job });
            }
            return tasks;
        }

        unsigned place(schema::ShardRecordT& record)
        {
            auto view = makeView();
            for (const auto& entry : record.entries) {
                if (ledger::holdsCapacity(entry->state))
                    placement::addTask(view, VmId(entry->worker), ledger::keyOf(*entry).task, ledger::demandOf(*entry));
            }
            return ledger::placeAssigned(record, [&](const schema::LedgerEntryT& entry) -> std::optional<VmId> {
                const placement::PlacementTask task { ledger::keyOf(entry).task, TeamName(entry.team), entry.class_name, entry.kind,
                    ledger::demandOf(entry) };
                const auto choice = placement::choosePlacement(view, task, MonotonicTime());
                if (!choice)
                    return std::nullopt;
                placement::addTask(view, *choice, task.task, task.demand);
                return *choice;
            });
        }

        const ShardId m_shard = shardName(0);
        int m_moves;
        int m_nextTask = 0;
        ShardRecords m_records;
    };

    // Bytes of the values that a store was given for shards.
    class WrittenBytes {
    public:
        explicit WrittenBytes(store::Store& store)
            : m_watch(store.watch(
                shardPrefix, Revision(), [this](const auto& events) { take(events); }, [] {}))
        {
        }

        double log() const { return m_log; }
        double base() const { return m_base; }

    private:
        void take(const std::vector<store::WatchEvent>& events)
        {
            for (const auto& event : events) {
                const auto key = parseShardLogKey(event.key);
                if (key)
                    (key->key ? m_log : m_base) += static_cast<double>(event.value.value_or("").size());
            }
        }

        double m_log = 0;
        double m_base = 0;
        std::unique_ptr<store::Watch> m_watch;
    };

    // Processor time of the watch's thread per event, which only that thread can read.
    class WatchLoad {
    public:
        WatchLoad(store::Store& store, ShardRecords& records)
            : m_records(records)
            , m_watch(store.watch(
                  shardPrefix, Revision(1), [this](const auto& events) { take(events); }, [] {}))
        {
        }

        bool waitFor(std::size_t events)
        {
            std::unique_lock lock(m_mutex);
            return m_wake.wait_for(lock, std::chrono::seconds(30), [&] { return m_times.size() >= events; });
        }

        // Between the changes so far, with a base among them in its turn; needs at least two.
        double microsPerEvent() const
        {
            const std::scoped_lock lock(m_mutex);
            std::vector<double> steps(m_times.size());
            std::adjacent_difference(m_times.begin(), m_times.end(), steps.begin());
            return median({ steps.begin() + 1, steps.end() });
        }

        double bytesPerEvent() const
        {
            const std::scoped_lock lock(m_mutex);
            return median(m_bytes);
        }

    private:
        void take(const std::vector<store::WatchEvent>& events)
        {
            for (const auto& event : events) {
                const auto value = event.value.value_or("");
                static_cast<void>(m_records.observe({ event.key, value, event.revision }));
                const std::scoped_lock lock(m_mutex);
                const auto key = parseShardLogKey(event.key);
                if (!key || !key->key)
                    continue;
                m_bytes.push_back(static_cast<double>(value.size()));
                m_times.push_back(threadMicros());
            }
            m_wake.notify_all();
        }

        ShardRecords& m_records;
        mutable std::mutex m_mutex;
        std::condition_variable m_wake;
        std::vector<double> m_times;
        std::vector<double> m_bytes;
        std::unique_ptr<store::Watch> m_watch;
    };

} // namespace

void measureShardRecords(Figures& figures)
{
    for (const int entries : { 100, 300, 600, 1200 }) {
        const auto record = makeShardRecord(0, plannedShards, entries, workersPerShard);
        const auto bytes = schema::encode(record);
        const auto add = [&](const char* quantity, double value, const char* unit) {
            figures.push_back({ "shard_record", entriesText(entries), quantity, value, unit });
        };
        add("size", static_cast<double>(bytes.size()), "bytes");
        add("memory", heldBytes([&] { return std::make_unique<schema::ShardRecordT>(record); }), "bytes");
        add("encode", microsPerCall(200, [&](int) { static_cast<void>(schema::encode(record)); }), "us");
        add("decode", microsPerCall(200, [&](int) { static_cast<void>(schema::decode<schema::ShardRecordT>(bytes)); }), "us");
        testing::FakeStore store;
        putShardRecord(store, record);
        ShardRecords records(store, seed);
        static_cast<void>(records.refresh(shardName(0)));
        add("update", microsPerCall(100, [&](int) { static_cast<void>(records.update(shardName(0), [](auto&) { return true; })); }), "us");
    }
}

void measureGroupCommit(Figures& figures)
{
    for (const int entries : { 300, 600, 1200 }) {
        for (const int moves : { 1, 8, 16, 64 }) {
            testing::FakeStore store;
            CommitLoad load(store, entries, moves);
            const WrittenBytes written(store);
            int failures = 0;
            int commits = 0;
            const auto micros = microsPerCall(40, [&](int) {
                ++commits;
                failures += load.commit() ? 0 : 1;
            });
            const auto parameters = entriesText(entries) + " starts=" + std::to_string(moves);
            // Starts and ends are transitions of their own.
            const double transitions = 2.0 * moves;
            figures.push_back({ "group_commit", parameters, "commit", micros, "us" });
            figures.push_back({ "group_commit", parameters, "transitions per core", transitions * 1e6 / micros, "1/s" });
            figures.push_back({ "group_commit", parameters, "change written per commit", written.log() / commits, "bytes" });
            figures.push_back({ "group_commit", parameters, "base written per commit", written.base() / commits, "bytes" });
            figures.push_back({ "group_commit", parameters, "failed commits", static_cast<double>(failures), "" });
        }
    }
}

void measureStoreAdapter(Figures& figures)
{
    for (const int entries : { 0, 300, 600, 1200 }) {
        testing::StoreStandin standin;
        const auto port = standin.server().start("127.0.0.1", 0);
        if (!port)
            return;
        store::EtcdStore store({ { "http://127.0.0.1:" + std::to_string(*port) }, Milliseconds(5000) });
        const auto value = schema::encode(makeShardRecord(0, plannedShards, entries, workersPerShard));
        // A shard of its own; the value is a plain record.
        const auto key = shardBaseKey(shardName(1));
        Revision revision;
        int failures = 0;
        const auto write = microsPerCall(20, [&](int) {
            const auto result = store.compareAndSwap(key, revision, value);
            failures += result ? 0 : 1;
            revision = result.value_or(revision);
        });
        const auto read = microsPerCall(20, [&](int) { failures += store.get(key) ? 0 : 1; });
        figures.push_back({ "store_adapter", entriesText(entries), "value", static_cast<double>(value.size()), "bytes" });
        figures.push_back({ "store_adapter", entriesText(entries), "write, daemon's side", write, "us" });
        figures.push_back({ "store_adapter", entriesText(entries), "read, daemon's side", read, "us" });
        // A whole shard with its log full, as a daemon reads it before a claim.
        CommitLoad load(store, entries, plannedMoves);
        for (std::uint64_t i = 0; i < ledger::shardLogKeys && entries > 0; ++i)
            failures += load.commit() ? 0 : 1;
        const auto list = microsPerCall(10, [&](int) { failures += store.list(shardPrefixOf(shardName(0))) ? 0 : 1; });
        figures.push_back({ "store_adapter", entriesText(entries), "read of base and log, daemon's side", list, "us" });
        figures.push_back({ "store_adapter", entriesText(entries), "failed calls", static_cast<double>(failures), "" });
        standin.release();
        standin.server().stop();
    }
}

void measureWatch(Figures& figures)
{
    constexpr std::size_t events = 41;
    for (const int entries : { 100, 300, 600, 1200 }) {
        testing::StoreStandin standin;
        const auto port = standin.server().start("127.0.0.1", 0);
        if (!port)
            return;
        store::EtcdStore store({ { "http://127.0.0.1:" + std::to_string(*port) }, Milliseconds(5000) });
        ShardRecords records(store, seed);
        {
            CommitLoad commits(store, entries, plannedMoves);
            static_cast<void>(records.refresh(shardName(0)));
            WatchLoad load(store, records);
            bool hasAll = true;
            // One event per message, as commits of different shards come at different times.
            for (std::size_t i = 0; i < events && hasAll; ++i)
                hasAll = commits.commit() && load.waitFor(i + 1);
            if (hasAll) {
                figures.push_back({ "watch", entriesText(entries), "event, daemon's side", load.microsPerEvent(), "us" });
                figures.push_back({ "watch", entriesText(entries), "value", load.bytesPerEvent(), "bytes" });
            }
        }
        standin.release();
        standin.server().stop();
    }
}

void measureAuditBatch(Figures& figures)
{
    for (const int events : { 100, 250 }) {
        schema::AuditBatchT batch;
        for (int number = 0; number < events; ++number) {
            auto event = std::make_unique<schema::AuditEventT>();
            event->time_ms = 1764800000000;
            event->daemon = "entry-daemon-01";
            event->actor = "system";
            event->object = "task/" + jobName(number).value() + "/17";
            event->action = "place";
            event->reason = "Placed";
            event->figures = "shard=" + shardName(0).value() + " worker=" + vmName(0, number % workersPerShard).value() + " epoch=7";
            batch.events.push_back(std::move(event));
        }
        const auto size = static_cast<double>(schema::encode(batch).size());
        figures.push_back({ "audit_batch", "events=" + std::to_string(events), "size", size, "bytes" });
    }
}

} // namespace kingcuploom::capacity
