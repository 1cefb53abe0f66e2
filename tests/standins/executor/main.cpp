#include "ExecutorState.h"
#include "base/Expected.h"
#include "http/HttpServer.h"

#include <docopt/docopt.h>
#include <jansson.h>

#include <charconv>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <thread>

using namespace kingcuploom;

namespace {

constexpr char usage[] = R"(Stand-in for an executor: answers requests under /run/ and counts them.

Usage:
  standin_executor [--host=HOST] [--port=PORT] [--slots=N] [--service-ms=MS] [--failing=PER_MILLE]

Options:
  --host=HOST          Numeric address to listen on [default: 127.0.0.1].
  --port=PORT          Port, 0 lets the kernel choose [default: 0].
  --slots=N            Slots that the platform lists; reported, not enforced [default: 8].
  --service-ms=MS      Time that a request takes without X-Work-Ms [default: 20].
  --failing=PER_MILLE  Share of requests that end with status 500 [default: 0].
)";

constexpr unsigned maxConnections = 4096;
constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;

using Json = std::unique_ptr<json_t, decltype(&json_decref)>;

Json makeJson(json_t* value) { return { value, &json_decref }; }

http::Response jsonResponse(int status, const Json& value)
{
    const std::unique_ptr<char, decltype(&std::free)> text(json_dumps(value.get(), JSON_COMPACT), &std::free);
    return { status, { { "Content-Type", "application/json" } }, text.get() };
}

std::optional<std::uint32_t> parseNumber(const std::string& text)
{
    std::uint32_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc() && next == end ? std::optional(value) : std::nullopt;
}

// Sends the body in one piece. The exception of a fault closes the connection before the end of the response is marked.
std::function<std::string()> makeBody(std::string text, standins::Fault fault)
{
    auto step = std::make_shared<int>(0);
    return [text = std::move(text), fault, step]() -> std::string {
        const bool isFirst = (*step)++ == 0;
        if (fault == standins::Fault::Close)
            throw std::runtime_error("connection closed on purpose");
        if (fault == standins::Fault::Truncate && !isFirst)
            throw std::runtime_error("response truncated on purpose");
        if (!isFirst)
            return {};
        return fault == standins::Fault::Truncate ? text.substr(0, text.size() / 2) : text;
    };
}

std::string makeEcho(const http::Request& request, const std::string& requestId)
{
    const auto json = makeJson(json_pack("{s:s, s:s, s:s%, s:s}", "method", request.method.c_str(), "path", request.path.c_str(), "body",
        request.body.data(), request.body.size(), "request_id", requestId.c_str()));
    if (!json)
        return R"({"error":"body is not UTF-8"})";
    return jsonResponse(200, json).body;
}

http::StreamResponse runRequest(standins::ExecutorState& state, const http::Request& request, std::uint32_t serviceMs)
{
    const auto requestId = http::headerValue(request.headers, "X-Request-Id");
    const auto fault = state.begin(requestId);
    const auto workMs = parseNumber(http::headerValue(request.headers, "X-Work-Ms")).value_or(serviceMs);
    std::this_thread::sleep_for(Milliseconds(workMs + state.behaviour().extraMs));
    state.end();
    http::StreamResponse response;
    response.status = fault == standins::Fault::Fail ? 500 : 200;
    response.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", requestId } };
    response.nextPiece = makeBody(makeEcho(request, requestId), fault);
    return response;
}

http::Response status(const standins::ExecutorState& state, const http::ConnectionCounts& connections, std::uint32_t slots)
{
    const auto counters = state.counters();
    return jsonResponse(200,
        makeJson(json_pack("{s:i, s:i, s:I, s:i, s:i, s:i}", "active", counters.active, "peak", counters.peak, "total",
            json_int_t(counters.total), "slots", int(slots), "connections", connections.open, "connections_peak", connections.peak)));
}

http::Response record(const standins::ExecutorState& state)
{
    auto json = makeJson(json_object());
    for (const auto& [id, executions] : state.record())
        json_object_set_new(json.get(), id.c_str(), json_integer(executions));
    return jsonResponse(200, json);
}

http::Response setBehaviour(standins::ExecutorState& state, const http::Request& request)
{
    const auto json = makeJson(json_loadb(request.body.data(), request.body.size(), 0, nullptr));
    if (!json_is_object(json.get()))
        return { 400, {}, "a JSON object is expected\n" };
    auto behaviour = state.behaviour();
    const auto updateField = [&](const char* name, std::uint32_t& target) {
        const auto* value = json_object_get(json.get(), name);
        if (json_is_integer(value))
            target = std::uint32_t(json_integer_value(value));
    };
    updateField("fail_per_mille", behaviour.failPerMille);
    updateField("extra_ms", behaviour.extraMs);
    updateField("truncate_per_mille", behaviour.truncatePerMille);
    updateField("close_per_mille", behaviour.closePerMille);
    state.setBehaviour(behaviour);
    return { 204, {}, {} };
}

std::uint32_t getNumericOption(const std::map<std::string, docopt::value>& options, const std::string& name)
{
    const auto value = parseNumber(options.at(name).asString());
    if (!value) {
        std::cerr << "not a number: " << name << '\n';
        std::exit(2);
    }
    return *value;
}

// Waits for the requests in progress, because HttpServer::stop() would end their streams as if they were complete.
void waitUntilIdle(const standins::ExecutorState& state)
{
    constexpr Milliseconds interval { 20 };
    do
        std::this_thread::sleep_for(interval);
    while (state.counters().active > 0);
    std::this_thread::sleep_for(interval);
}

// Blocks the signals in all threads that are started later, so that only sigwait() receives them.
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto slots = getNumericOption(options, "--slots");
    const auto serviceMs = getNumericOption(options, "--service-ms");
    const auto port = std::uint16_t(getNumericOption(options, "--port"));
    const auto signals = blockTerminationSignals();

    standins::ExecutorState state;
    state.setBehaviour({ .failPerMille = getNumericOption(options, "--failing") });
    http::HttpServer server({ .maxConnections = maxConnections, .maxBodyBytes = maxBodyBytes, .isCountingConnections = true });
    server.routeStream("*", "/run/", [&](const http::Request& request) { return runRequest(state, request, serviceMs); });
    server.route("GET", "/status", [&](const http::Request&) { return status(state, server.connectionCounts(), slots); });
    server.route("GET", "/admin/record", [&](const http::Request&) { return record(state); });
    server.route("PUT", "/admin/behaviour", [&](const http::Request& request) { return setBehaviour(state, request); });
    const auto listening = server.start(options.at("--host").asString(), port);
    if (!listening) {
        std::cerr << "cannot listen\n";
        return 1;
    }
    std::cout << "listening port=" << *listening << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    waitUntilIdle(state);
    server.stop();
    return 0;
}
