#include "Commands.h"
#include "LiveStream.h"
#include "OperatorRig.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace kingcuploom;
using namespace kingcuploom::ctl;
using namespace kingcuploom::testing;
using namespace kingcuploom::testing::operators;

namespace {

// Runs command lines against the operator API of a daemon in the same process.
class CommandRunner {
public:
    explicit CommandRunner(OperatorRig& target)
        : m_rig(target)
        , m_folder(std::filesystem::temp_directory_path() / ("kingcuploomctl-test-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~CommandRunner() { std::filesystem::remove_all(m_folder); }
    CommandRunner(const CommandRunner&) = delete;
    CommandRunner& operator=(const CommandRunner&) = delete;

    std::string file(const std::string& name, const std::string& text)
    {
        auto path = (m_folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

    ExitCode run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), { "--actor", "ana" });
        out.str("");
        err.str("");
        const auto line = parseCommandLine(arguments);
        REQUIRE(line.has_value());
        const auto call = [this](const http::Request& request) -> Expected<http::Response, http::ClientError> {
            if (failure)
                return makeUnexpected(http::ClientError { *failure, "test" });
            if (request.method == "PUT" && beforeChange)
                std::exchange(beforeChange, nullptr)();
            return m_rig.api.handle(request);
        };
        const auto stream = [this](const http::Request& request, const std::function<bool(std::string_view)>& onData) {
            auto response = m_rig.api.handleWatch(request);
            for (auto piece = response.nextPiece(); !piece.empty() && onData(piece);)
                piece = response.nextPiece();
            return Expected<void, http::ClientError>();
        };
        return runCommand({ *line, key, call, stream, out, err });
    }

    std::string key = testSettings("").operator_key;
    std::optional<http::ClientErrorCode> failure;
    // Called once, immediately before the next PUT request reaches the daemon.
    std::function<void()> beforeChange;
    std::ostringstream out;
    std::ostringstream err;

private:
    OperatorRig& m_rig;
    std::filesystem::path m_folder;
};

bool contains(const std::ostringstream& stream, const std::string& text) { return stream.str().find(text) != std::string::npos; }

std::string teamJson(int weight)
{
    return "// team of the test\n{ \"kind\": \"Team\", \"name\": \"glaze\", \"team\": { \"weight\": " + std::to_string(weight) + " } }";
}

} // namespace

TEST_CASE("a conflict prints both versions and advice on the next step, and has its own exit code")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    CHECK(runner.run({ "apply", "-f", runner.file("a.json", teamJson(100)) }) == ExitCode::Done);
    CHECK(contains(runner.out, "stored at revision"));
    CHECK(runner.run({ "apply", "-f", runner.file("a.json", teamJson(100)) }) == ExitCode::Done);
    CHECK(contains(runner.out, "unchanged"));
    const auto changed = runner.file("b.json", teamJson(333));
    // Conflicts: creating a resource that exists, and (below) replacing a revision that has been replaced in the meantime.
    CHECK(runner.run({ "apply", "-f", changed, "--revision", "0" }) == ExitCode::Conflict);
    for (const auto* text : { "team.weight", "333", "100", "changed by 'ana'", "next:" }) {
        INFO(text << " in " << runner.err.str());
        CHECK(contains(runner.err, text));
    }
    const auto revision = std::to_string(rig.config.find({ schema::ResourceKind::Team, "glaze" })->revision.value());
    CHECK(runner.run({ "apply", "-f", changed, "--revision", revision, "--dry-run" }) == ExitCode::Done);
    CHECK(contains(runner.out, "dry run"));
    CHECK(runner.run({ "apply", "-f", changed, "--revision", revision }) == ExitCode::Done);
    CHECK(runner.run({ "apply", "-f", runner.file("a.json", teamJson(100)), "--revision", revision }) == ExitCode::Conflict);
    CHECK(runner.run({ "get", "team", "glaze" }) == ExitCode::Done);
    CHECK(contains(runner.out, "weight=333"));
    CHECK(runner.run({ "delete", "team", "glaze" }) == ExitCode::Done);
    CHECK(runner.run({ "get", "team", "glaze" }) == ExitCode::NotFound);
}

TEST_CASE("apply without a revision prints the replaced fields, and a concurrent change is a conflict")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    REQUIRE(runner.run({ "apply", "-f", runner.file("a.json", teamJson(100)) }) == ExitCode::Done);
    CHECK(runner.run({ "apply", "-f", runner.file("b.json", teamJson(333)), "--dry-run" }) == ExitCode::Done);
    CHECK(contains(runner.out, "replaces revision"));
    CHECK(runner.run({ "apply", "-f", runner.file("b.json", teamJson(333)) }) == ExitCode::Done);
    for (const auto* text : { "replaces revision", "changed by 'ana'", "team.weight", "333", "100" })
        CHECK(contains(runner.out, text));
    runner.beforeChange = [&] {
        const auto revision = rig.config.find({ schema::ResourceKind::Team, "glaze" })->revision;
        CHECK(rig.config.apply(teamOf("glaze", 555), revision, "bo").has_value());
    };
    CHECK(runner.run({ "apply", "-f", runner.file("c.json", teamJson(444)) }) == ExitCode::Conflict);
    CHECK(contains(runner.err, "555"));
    CHECK(rig.config.snapshot()->teams.at(TeamName("glaze")).weight == 555);
}

TEST_CASE("draining takes a failure domain out of service, and restore returns it to service")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    CHECK(runner.run({ "drain", "north", "--reason", "switch replacement" }) == ExitCode::Done);
    CHECK(rig.config.snapshot()->isOutOfService(FailureDomain("north")));
    CHECK(runner.run({ "drain", "north", "--reason", "switch replacement" }) == ExitCode::Done);
    CHECK(runner.run({ "delete", "domain", "north" }) == ExitCode::Invalid);
    CHECK(runner.run({ "restore", "north" }) == ExitCode::Done);
    CHECK_FALSE(rig.config.snapshot()->isOutOfService(FailureDomain("north")));
    CHECK(runner.run({ "drain", "North", "--reason", "x" }) == ExitCode::Invalid);
    CHECK(contains(runner.err, "name_malformed"));
}

TEST_CASE("drain retries on a conflict that kept the domain's state, and reports one that changed it")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    const auto changeBeforeNextRequest = [&](schema::DomainState state, const std::string& reason) {
        runner.beforeChange = [&rig, state, reason] {
            auto domain = domainOf("north", state);
            domain.failure_domain->reason = reason;
            const auto current = rig.config.find({ schema::ResourceKind::FailureDomain, "north" });
            const auto revision = current ? current->revision : Revision();
            const auto applied = rig.config.apply(std::move(domain), revision, "bo");
            CHECK(applied.has_value());
        };
    };
    changeBeforeNextRequest(schema::DomainState::InService, "note");
    CHECK(runner.run({ "drain", "north", "--reason", "power" }) == ExitCode::Done);
    CHECK(rig.config.snapshot()->isOutOfService(FailureDomain("north")));
    changeBeforeNextRequest(schema::DomainState::InService, "back again");
    CHECK(runner.run({ "drain", "north", "--reason", "other reason" }) == ExitCode::Conflict);
    CHECK(contains(runner.err, "changed by 'bo'"));
}

TEST_CASE("failures have stable exit codes and report whether a change was stored")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    const auto team = runner.file("a.json", teamJson(100));
    CHECK(runner.run({ "apply", "-f", runner.file("bad.json", "{ \"kind\": ") }) == ExitCode::Invalid);
    CHECK(contains(runner.err, "bad.json"));
    CHECK(runner.run({ "apply", "-f", runner.file("range.json", teamJson(0)) }) == ExitCode::Invalid);
    CHECK(contains(runner.err, "allowed: 1 to 10000"));
    CHECK(runner.run({ "apply", "-f", "/nonexistent.json" }) == ExitCode::UsageError);
    store.isDown = true;
    CHECK(runner.run({ "apply", "-f", team }) == ExitCode::Unavailable);
    CHECK(contains(runner.err, "nothing was stored"));
    store.isDown = false;
    runner.failure = http::ClientErrorCode::ConnectFailed;
    CHECK(runner.run({ "apply", "-f", team }) == ExitCode::Unavailable);
    runner.failure = http::ClientErrorCode::Timeout;
    // Without --revision the preceding read times out, so no change was sent.
    CHECK(runner.run({ "apply", "-f", team }) == ExitCode::Unavailable);
    CHECK(runner.run({ "apply", "-f", team, "--revision", "0" }) == ExitCode::OutcomeUnknown);
    CHECK(runner.run({ "status" }) == ExitCode::Unavailable);
    runner.failure.reset();
    runner.key = "wrong";
    CHECK(runner.run({ "status" }) == ExitCode::KeyRefused);
    CHECK(runner.run({ "watch", "--revision", "0" }) == ExitCode::KeyRefused);
    CHECK(rig.config.list().resources.empty());
}

TEST_CASE("JSON output is the response of the daemon, including errors")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    CHECK(runner.run({ "apply", "-f", runner.file("a.json", teamJson(100)), "-o", "json" }) == ExitCode::Done);
    CHECK(contains(runner.out, "\"changed\":true"));
    CHECK(runner.run({ "apply", "-f", runner.file("a.json", teamJson(200)), "--revision", "0", "-o", "json" }) == ExitCode::Conflict);
    CHECK(contains(runner.out, "\"code\":\"conflict\""));
    CHECK(runner.err.str().empty());
}

TEST_CASE("commands print jobs, status, explanations and audit events")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    REQUIRE(runner.run({ "apply", "-f", runner.file("a.json", teamJson(100)) }) == ExitCode::Done);
    const auto job = runner.file("job.json", "{ \"name\": \"festival\", \"team\": \"glaze\" }");
    CHECK(runner.run({ "submit", "-f", job, "--dry-run" }) == ExitCode::Done);
    CHECK(rig.jobs.list().empty());
    CHECK(runner.run({ "submit", "-f", job }) == ExitCode::Done);
    CHECK(runner.run({ "jobs" }) == ExitCode::Done);
    CHECK(contains(runner.out, "festival"));
    CHECK(runner.run({ "status", "festival", "-o", "json" }) == ExitCode::Done);
    CHECK(contains(runner.out, "\"done\":false"));
    CHECK(runner.run({ "cancel", "festival" }) == ExitCode::Done);
    CHECK(runner.run({ "cancel", "other" }) == ExitCode::NotFound);
    CHECK(runner.run({ "status" }) == ExitCode::Done);
    CHECK(contains(runner.out, "north.r1"));
    CHECK(runner.run({ "explain", "task", "festival/0" }) == ExitCode::Done);
    CHECK(contains(runner.out, "quota_exceeded"));
    CHECK(runner.run({ "audit", "team/" }) == ExitCode::Done);
    CHECK(contains(runner.out, "resource_applied"));
}

TEST_CASE("a watch over HTTP receives changes and ends on shutdown of the daemon")
{
    FakeStore store;
    OperatorRig rig(store);
    http::HttpServer server { {} };
    rig.api.registerRoutes(server);
    const auto port = server.start("127.0.0.1", 0);
    REQUIRE(port.has_value());
    const auto url = "http://127.0.0.1:" + std::to_string(*port);
    const auto start = rig.config.list().revision.value();
    const http::Request request { "GET", "/v1/watch?revision=" + std::to_string(start),
        { { OperatorApi::keyHeader, rig.node.settings.operator_key } }, "" };
    const auto idleTimeout = std::chrono::seconds(20);
    http::HttpClient client;
    CHECK(rig.config.apply(teamOf("first"), Revision(), "ana").has_value());
    std::string received;
    const auto collectBoth = [&](std::string_view data) {
        // Makes the second change while the watch is open.
        if (received.empty())
            CHECK(rig.config.apply(teamOf("second"), Revision(), "ana").has_value());
        received += data;
        return received.find("second") == std::string::npos;
    };
    static_cast<void>(streamWithIdleTimeout(client, url, request, collectBoth, idleTimeout));
    CHECK(received.find("first") < received.find("second"));

    std::thread stopThread;
    const auto stopAtFirstData = [&](std::string_view) {
        if (!stopThread.joinable())
            stopThread = std::thread([&] {
                rig.api.stop();
                server.stop();
            });
        return true;
    };
    CHECK(streamWithIdleTimeout(client, url, request, stopAtFirstData, idleTimeout).has_value());
    stopThread.join();
}

TEST_CASE("a watch of a daemon that hangs ends after the idle timeout instead of waiting forever")
{
    http::HttpServer server { {} };
    std::mutex mutex;
    std::condition_variable ended;
    bool isEnded = false;
    server.routeStream("GET", "/", [&](const http::Request&) {
        const auto wait = [&]() -> std::string {
            std::unique_lock lock(mutex);
            ended.wait(lock, [&] { return isEnded; });
            return {};
        };
        return http::StreamResponse { 200, {}, wait, {} };
    });
    const auto port = server.start("127.0.0.1", 0);
    REQUIRE(port.has_value());
    http::HttpClient client;
    const auto result = streamWithIdleTimeout(
        client, "http://127.0.0.1:" + std::to_string(*port), { "GET", "/", {}, "" }, [](std::string_view) { return true; },
        Milliseconds(50));
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().code == http::ClientErrorCode::Cancelled);
    {
        const std::scoped_lock lock(mutex);
        isEnded = true;
    }
    ended.notify_all();
    server.stop();
}

TEST_CASE("invalid command lines are refused with the exit code of a usage error")
{
    using Arguments = std::vector<std::string>;
    const std::vector<Arguments> wrong { {}, { "apply" }, { "drain", "north" }, { "get", "-o", "xml" }, { "audit", "--limit", "many" },
        { "watch", "--revision", "-3" }, { "explain", "rack", "r1" } };
    for (const auto& arguments : wrong) {
        const auto line = parseCommandLine(arguments);
        REQUIRE_FALSE(line.has_value());
        CHECK(line.error().code == ExitCode::UsageError);
    }
    CHECK(parseCommandLine({ "--help" }).error().code == ExitCode::Done);
}

TEST_CASE("the key is read from the key file before the environment variable")
{
    FakeStore store;
    OperatorRig rig(store);
    CommandRunner runner(rig);
    setenv("KINGCUPLOOM_KEY", "from-environment", 1);
    CHECK(*readOperatorKey(*parseCommandLine({ "status" })) == "from-environment");
    CHECK(*readOperatorKey(*parseCommandLine({ "status", "--key-file", runner.file("key", "from-file\n") })) == "from-file");
    CHECK(readOperatorKey(*parseCommandLine({ "status", "--key-file", "/nonexistent" })).error().code == ExitCode::UsageError);
    unsetenv("KINGCUPLOOM_KEY");
}
