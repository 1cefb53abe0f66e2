#include "CountingRelay.h"
#include "Fleet.h"
#include "HttpWorkerPort.h"
#include "Sections.h"
#include "WorkerRoutes.h"

namespace kingcuploom::capacity {

namespace {

    std::string localUrl(std::uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

    // The worker stand-in with running tasks, called through the daemon's adapter.
    class SyncLoad {
    public:
        explicit SyncLoad(int tasks)
        {
            testing::addWorkerRoutes(m_server, m_model);
            m_port = m_server.start("127.0.0.1", 0).value_or(0);
            m_call = { shardName(0), Epoch(7), Milliseconds(600'000), {}, {} };
            for (int task = 0; task < tasks; ++task)
                startTask({ { jobName(task), 0 }, Attempt(1) });
        }
        ~SyncLoad() { m_server.stop(); }
        SyncLoad(const SyncLoad&) = delete;
        SyncLoad& operator=(const SyncLoad&) = delete;

        std::uint16_t port() const { return m_port; }

        bool sync(std::uint16_t port) { return m_workers.sync(localUrl(port), m_call).has_value(); }

        bool startOne(std::uint16_t port, int number)
        {
            return m_workers.start(localUrl(port), startCall({ { jobName(1000 + number), 0 }, Attempt(1) }, Milliseconds(1))).has_value();
        }

    private:
        StartCall startCall(const ledger::AttemptKey& key, Milliseconds work) const
        {
            const ResourceAmounts demand { CpuMillis(1500), MemoryMb(4096), Accelerators(0) };
            return { m_call.shard, m_call.epoch, key, demand, m_call.lease, Milliseconds(450), work, 0, "recipe-class-07" };
        }

        void startTask(const ledger::AttemptKey& key)
        {
            static_cast<void>(m_workers.start(localUrl(m_port), startCall(key, Milliseconds(0))));
            m_call.renew.push_back(key);
        }

        SystemClock m_clock;
        testing::WorkerModel m_model { m_clock, { CpuMillis(16000), MemoryMb(60000), Accelerators(1) }, true };
        http::HttpServer m_server { http::ServerLimits() };
        http::HttpClient m_client;
        HttpWorkerPort m_workers { m_client, { Milliseconds(2000), Milliseconds(2000) } };
        std::uint16_t m_port = 0;
        SyncCall m_call;
    };

    // Bytes of one call in each direction, HTTP headers included.
    template <typename Call> std::pair<double, double> wireBytes(std::uint16_t port, const Call& call)
    {
        const CountingRelay relay(port);
        call(relay.port());
        return { static_cast<double>(relay.bytesToTarget()), static_cast<double>(relay.bytesFromTarget()) };
    }

} // namespace

void measureWorkerSync(Figures& figures)
{
    for (const int tasks : { 0, 1, 5, 10, 20 }) {
        SyncLoad load(tasks);
        const auto parameters = "tasks=" + std::to_string(tasks);
        const auto [sent, received] = wireBytes(load.port(), [&](std::uint16_t port) { load.sync(port); });
        int failures = 0;
        const auto both = processMicrosPerCall(200, [&](int) { failures += load.sync(load.port()) ? 0 : 1; });
        const auto own = microsPerCall(200, [&](int) { failures += load.sync(load.port()) ? 0 : 1; });
        figures.push_back({ "worker_sync", parameters, "request", sent, "bytes" });
        figures.push_back({ "worker_sync", parameters, "answer", received, "bytes" });
        figures.push_back({ "worker_sync", parameters, "daemon's side", own, "us" });
        figures.push_back({ "worker_sync", parameters, "worker stand-in's side", both - own, "us" });
        figures.push_back({ "worker_sync", parameters, "failed calls", static_cast<double>(failures), "" });
    }
    SyncLoad load(0);
    const auto [sent, received] = wireBytes(load.port(), [&](std::uint16_t port) { load.startOne(port, 0); });
    int failures = 0;
    const auto own = microsPerCall(200, [&](int i) { failures += load.startOne(load.port(), i + 1) ? 0 : 1; });
    figures.push_back({ "worker_start", "tasks=1", "request", sent, "bytes" });
    figures.push_back({ "worker_start", "tasks=1", "answer", received, "bytes" });
    figures.push_back({ "worker_start", "tasks=1", "daemon's side", own, "us" });
    figures.push_back({ "worker_start", "tasks=1", "failed calls", static_cast<double>(failures), "" });
}

} // namespace kingcuploom::capacity
