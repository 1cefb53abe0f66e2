#include "FakeStore.h"
#include "Fleet.h"
#include "Sections.h"
#include "daemon/AuditSink.h"
#include "daemon/ConfigService.h"
#include "resources/ResourceKey.h"
#include "routing/Admission.h"
#include "schema/JsonCodec.h"
#include "schema/RecordCodec.h"

namespace kingcuploom::capacity {

namespace {

    constexpr int slotsPerExecutor = 8;

    class DroppingSink final : public AuditSink {
    public:
        void record(schema::AuditEventT) override { }
    };

    schema::ResourceT makeService(int number)
    {
        schema::ResourceT resource;
        resource.kind = schema::ResourceKind::Service;
        resource.name = "pattern-proofs-" + std::to_string(number);
        resource.service = std::make_unique<schema::ServiceSpecT>();
        resource.service->team = teamName(number).value();
        resource.updated_by = "operator-of-the-workshop";
        resource.write_id = static_cast<std::uint64_t>(number) + 1;
        return resource;
    }

    // A configuration service and a store with this many resources.
    class ConfigLoad {
    public:
        explicit ConfigLoad(int resources)
            : m_resources(resources)
        {
            m_settings.daemon_id = "d0";
            m_settings.operator_key = "operator-key-of-the-benchmark";
            m_settings.link_key = "link-key-of-the-benchmark";
            for (int i = 0; i < resources; ++i)
                put(i);
        }

        void put(int number)
        {
            const auto resource = makeService(number % m_resources);
            const auto key = resources::makeStoreKey({ resource.kind, resource.name });
            auto& revision = m_revisions[key];
            revision = m_store.compareAndSwap(key, revision, schema::toJson(resource), LeaseId()).value_or(revision);
        }

        bool refresh() { return m_service.refresh().has_value(); }

    private:
        int m_resources;
        schema::SettingsT m_settings;
        ManualClock m_clock;
        testing::FakeStore m_store;
        DroppingSink m_sink;
        prometheus::Registry m_registry;
        std::map<std::string, Revision> m_revisions;
        ConfigService m_service { m_settings, m_clock, m_store, m_sink, m_registry };
    };

    routing::QueuedCall makeCall(int number, MonotonicTime now)
    {
        return { routing::CallId(static_cast<std::uint64_t>(number) + 1), teamName(number), now, now + std::chrono::seconds(2), true, {} };
    }

    // The executors of one service at one owner.
    routing::Pool makePool(int executors, MonotonicTime now)
    {
        routing::Pool pool;
        routing::TargetsChange change;
        for (int i = 0; i < executors; ++i)
            change.targets.push_back({ ExecutorId("executor-" + std::to_string(i)), shardName(i % 4), slotsPerExecutor, slotsPerExecutor, 0,
                std::nullopt, false });
        for (int team = 0; team < 65; ++team)
            change.weights[teamName(team)] = 100;
        static_cast<void>(decide(pool, change, now));
        return pool;
    }

    // Half of the slots are in use; each step admits and dispatches one call and ends an older one.
    double halfLoadMicros(int executors)
    {
        auto now = MonotonicTime(std::chrono::hours(1));
        auto pool = makePool(executors, now);
        const int inUse = executors * slotsPerExecutor / 2;
        for (int i = 0; i < inUse; ++i)
            static_cast<void>(decide(pool, routing::Arrival { makeCall(i, now) }, now));
        return microsPerCall(5000, [&](int i) {
            now += std::chrono::microseconds(10);
            static_cast<void>(decide(pool, routing::Arrival { makeCall(inUse + i, now) }, now));
            static_cast<void>(decide(pool, routing::Completion { routing::CallId(static_cast<std::uint64_t>(i) + 1) }, now));
        });
    }

    // All slots are in use and the queue is full: each arrival ends in a refusal.
    double overloadMicros(int executors)
    {
        const auto now = MonotonicTime(std::chrono::hours(1));
        auto pool = makePool(executors, now);
        const int full = executors * slotsPerExecutor + static_cast<int>(pool.limits.queueLimit);
        for (int i = 0; i < full; ++i)
            static_cast<void>(decide(pool, routing::Arrival { makeCall(i, now) }, now));
        return microsPerCall(5000, [&](int i) { static_cast<void>(decide(pool, routing::Arrival { makeCall(full + i, now) }, now)); });
    }

    schema::LinkMessageT makeForward(std::size_t bodyBytes)
    {
        schema::ForwardT forward;
        forward.sequence = 123456;
        forward.shard = shardName(0).value();
        forward.service = "pattern-proofs-07";
        forward.team = teamName(7).value();
        forward.method = "POST";
        forward.path = "/run/check";
        forward.body.assign(bodyBytes, 'x');
        forward.remaining_ms = 1900;
        schema::LinkMessageT message;
        message.body.Set(std::move(forward));
        return message;
    }

} // namespace

void measureConfiguration(Figures& figures)
{
    for (const int resources : { 200, 1000, 10000 }) {
        ConfigLoad load(resources);
        const auto parameters = "changes=" + std::to_string(resources);
        const auto add = [&](const char* quantity, double value, const char* unit) {
            figures.push_back({ "configuration", parameters, quantity, value, unit });
        };
        const auto before = heapBytes();
        int failures = load.refresh() ? 0 : 1;
        add("memory", heapBytes() - before, "bytes");
        add("stored size", static_cast<double>(schema::toJson(makeService(0)).size()), "bytes");
        add("read without change", microsPerCall(20, [&](int) { failures += load.refresh() ? 0 : 1; }), "us");
        const auto put = microsPerCall(20, [&](int i) { load.put(i); });
        failures += load.refresh() ? 0 : 1;
        const auto putAndRead = microsPerCall(20, [&](int i) {
            load.put(i);
            failures += load.refresh() ? 0 : 1;
        });
        add("take over one change", putAndRead - put, "us");
        add("failed reads", static_cast<double>(failures), "");
    }
}

void measureAdmission(Figures& figures)
{
    for (const int executors : { 7, 50, 213 }) {
        const auto parameters = "executors=" + std::to_string(executors);
        const auto half = halfLoadMicros(executors);
        const auto overload = overloadMicros(executors);
        figures.push_back({ "admission", parameters, "admit and end, half load", half, "us" });
        figures.push_back({ "admission", parameters, "calls per core, half load", 1e6 / half, "1/s" });
        figures.push_back({ "admission", parameters, "refuse, full queue", overload, "us" });
        figures.push_back({ "admission", parameters, "refusals per core", 1e6 / overload, "1/s" });
    }
}

void measureForwarding(Figures& figures)
{
    for (const std::size_t body : { std::size_t { 1024 }, std::size_t { 65536 } }) {
        const auto message = makeForward(body);
        const auto bytes = schema::encode(message);
        const auto parameters = "body=" + std::to_string(body);
        const auto encode = microsPerCall(500, [&](int) { static_cast<void>(schema::encode(message)); });
        const auto decode = microsPerCall(500, [&](int) { static_cast<void>(schema::decode<schema::LinkMessageT>(bytes)); });
        figures.push_back({ "forward", parameters, "size", static_cast<double>(bytes.size()), "bytes" });
        figures.push_back({ "forward", parameters, "encode", encode, "us" });
        figures.push_back({ "forward", parameters, "decode", decode, "us" });
    }
}

} // namespace kingcuploom::capacity
