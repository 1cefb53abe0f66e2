#include "daemon/Daemon.h"

#include "JobApiAdapter.h"
#include "base/Log.h"
#include "daemon/AuditLog.h"
#include "daemon/ConfigService.h"
#include "daemon/OperatorApi.h"
#include "daemon/OwnershipService.h"
#include "daemon/RequestService.h"
#include "daemon/TaskService.h"
#include "daemon/VmListPoller.h"
#include "http/HttpServer.h"
#include "schema/Guards.h"
#include "store/EtcdStore.h"

#include <cstdlib>
#include <random>

namespace kingcuploom {

namespace {

    // Differs between two starts of a daemon, also on a VM without a clock that was set.
    Incarnation makeIncarnation()
    {
        std::random_device device;
        return Incarnation((static_cast<std::uint64_t>(device()) << 32) | device());
    }

    link::HubSettings hubSettings(const schema::SettingsT& settings, Incarnation incarnation)
    {
        return { DaemonId(settings.daemon_id), incarnation, settings.host, settings.link_port, settings.link_key,
            Address(settings.link_advertised_address) };
    }

    http::ServerLimits serverLimits(const schema::SettingsT& settings)
    {
        http::ServerLimits limits { settings.max_caller_connections, settings.max_body_bytes, settings.max_header_bytes };
        // Rounded up: libmicrohttpd counts whole seconds.
        limits.idleTimeout = std::chrono::ceil<std::chrono::seconds>(Milliseconds(settings.caller_idle_timeout_ms));
        limits.receiveTimeout = Milliseconds(settings.caller_receive_timeout_ms);
        limits.refusalHeaders = { { "X-Kingcuploom-Outcome", "not-run" } };
        return limits;
    }

    Address addressOf(const std::string& host, std::uint16_t port) { return Address(host + ":" + std::to_string(port)); }

    Address linkAddressOf(const schema::SettingsT& settings, std::uint16_t port)
    {
        if (settings.link_advertised_address.empty())
            return addressOf(settings.host, port);
        return Address(settings.link_advertised_address);
    }

} // namespace

const char* toString(StartError error)
{
    switch (error) {
    case StartError::CannotListenForLinks:
        return "cannot_listen_for_links";
    case StartError::CannotListenForHttp:
        return "cannot_listen_for_http";
    }
    return "unknown";
}

// Members are constructed in the order in which they depend on each other.
struct Daemon::Parts {
    explicit Parts(schema::SettingsT daemonSettings)
        : settings(std::move(daemonSettings))
        , trace(clock, settings.trace_events)
        , store({ settings.store_urls, Milliseconds(settings.store_timeout_ms) })
        , audit(settings, clock, store, *registry)
        , vmList(client, catalog, clock, { settings.vm_list_url, Milliseconds(settings.vm_list_poll_ms), settings.rack_groups_per_domain })
        , hub(hubSettings(settings, incarnation), clock)
        , shardRecords(store, incarnation.value())
        , config(settings, clock, store, audit, *registry)
        , ownership(settings, clock, store, hub, shardRecords, catalog, audit, *registry)
        , requests(settings, clock, ownership, config, catalog, hub, client, audit, *registry)
        , tasks(settings, clock, ownership, config, shardRecords, catalog, store, client, audit, *registry)
        , jobs(tasks, catalog, ownership)
        , operators({ settings, clock, config, audit, jobs, ownership, *registry, trace, [this] { return isReady(); },
              [this] { config.updateMetrics(); } })
        , server(serverLimits(settings))
    {
        connectParts();
    }

    bool isReady() const { return ownership.hasJoined() && !ownership.isLeaving() && config.confirmedAt().has_value(); }

    void connectParts()
    {
        auto& exchange = requests.loadExchange();
        exchange.sources().capacities = [this] { return tasks.capacityFigures(); };
        exchange.sources().configRevision = [this] { return config.knownRevision(); };
        requests.onShardIdle(
            [this](const ShardId& shard, Epoch epoch) { ownership.reportFinished(shard, epoch, ownership::WorkPart::Requests); });
        exchange.onHeartbeat([this](const DaemonId&, const schema::HeartbeatT& heartbeat) { takeHeartbeat(heartbeat); });
        server.route("*", "/v1/call/", [this](const http::Request& request) { return answerCall(request); });
        operators.registerRoutes(server);
    }

    http::Response answerCall(const http::Request& request)
    {
        const auto arrivedAt = clock.now();
        auto response = requests.handleCall(request);
        trace.recordCall(request, response, arrivedAt);
        return response;
    }

    void takeHeartbeat(const schema::HeartbeatT& heartbeat)
    {
        std::vector<schema::CapacityFigureT> figures;
        for (const auto& figure : heartbeat.capacities)
            figures.push_back(*figure);
        tasks.updateCapacities(figures);
        config.noteRevision(Revision(heartbeat.config_revision));
    }

    schema::SettingsT settings;
    SystemClock clock;
    TraceRecorder trace;
    Incarnation incarnation = makeIncarnation();
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    http::HttpClient client;
    store::EtcdStore store;
    AuditLog audit;
    TargetCatalog catalog;
    VmListPoller vmList;
    link::LinkHub hub;
    ShardRecords shardRecords;
    ConfigService config;
    OwnershipService ownership;
    RequestService requests;
    TaskService tasks;
    JobApiAdapter jobs;
    OperatorApi operators;
    http::HttpServer server;
};

Daemon::Daemon(schema::SettingsT settings)
    : m_parts(std::make_unique<Parts>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

Expected<void, StartError> Daemon::start()
{
    auto& parts = *m_parts;
    const auto linkPort = parts.hub.start();
    if (!linkPort)
        return makeUnexpected(StartError::CannotListenForLinks);
    const auto httpPort = parts.server.start(parts.settings.host, parts.settings.http_port);
    if (!httpPort)
        return makeUnexpected(StartError::CannotListenForHttp);
    parts.audit.start();
    parts.vmList.start();
    parts.config.start();
    // Tasks need no report: a start that is under way carries its epoch and its commit, and the next owner finds it in the ledger.
    parts.ownership.setReportingParts({ ownership::WorkPart::Requests });
    parts.ownership.start(linkAddressOf(parts.settings, *linkPort), addressOf(parts.settings.host, *httpPort));
    parts.requests.start();
    parts.tasks.start();
    logEvent(LogLevel::Info, "listening", { { "host", parts.settings.host }, { "http_port", *httpPort }, { "link_port", *linkPort } });
    return {};
}

void Daemon::shutDown()
{
    auto& parts = *m_parts;
    const auto deadline = parts.clock.now() + Milliseconds(parts.settings.shutdown_limit_ms);
    const auto timeLeft = [&] { return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(deadline - parts.clock.now())); };
    if (!schema::isGuardOn(parts.settings, schema::Guard::ShutdownDrain))
        std::_Exit(EXIT_SUCCESS);
    parts.ownership.beginLeaving();
    const bool hasLeft = parts.ownership.waitUntilLeft(timeLeft());
    const bool hasDrained = parts.requests.drain(timeLeft());
    logEvent(hasLeft && hasDrained ? LogLevel::Info : LogLevel::Warning, "drained",
        { { "shards_handed_over", hasLeft }, { "requests_answered", hasDrained } });
    parts.operators.stop();
    parts.server.stop();
    parts.tasks.stop();
    parts.requests.stop();
    parts.ownership.stop();
    parts.config.stop();
    parts.vmList.stop();
    parts.audit.stop();
    parts.hub.stop();
}

} // namespace kingcuploom
