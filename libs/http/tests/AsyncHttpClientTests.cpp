#include "ScriptedServer.h"
#include "http/AsyncHttpClient.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace kingcuploom;
using namespace kingcuploom::http;
using kingcuploom::testing::ScriptedServer;

namespace {

using CallResult = Expected<Response, AsyncCallError>;

constexpr Milliseconds callTimeout { 100 };
constexpr Milliseconds loopDelay { 300 };
constexpr Milliseconds testTimeout { 5000 };

// Calls the server and runs the loop until the call has ended. Once the call is under way, the loop is blocked for the given time, as by
// work that takes longer than the timeout of the call.
CallResult callWithDelayedLoop(const std::string& url, Milliseconds delay)
{
    boost::asio::io_context loop { 1 };
    AsyncHttpClient client(loop);
    std::optional<CallResult> result;
    AsyncCall call;
    call.address = Address(url.substr(std::string("http://").size()));
    call.target = "/";
    call.timeout = callTimeout;
    client.call(call, [&](const CallResult& it) { result = it; });
    boost::asio::post(loop, [delay] { std::this_thread::sleep_for(delay); });
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!result && std::chrono::steady_clock::now() < end)
        loop.run_one_for(Milliseconds(10));
    REQUIRE(result);
    return *result;
}

} // namespace

TEST_CASE("a call whose answer arrives while the loop is late is answered")
{
    // Guards against ending calls as unanswered for the delay of the own loop: an overloaded leader then repeats them on new connections,
    // which keeps it overloaded.
    ScriptedServer server([](auto& socket, int) {
        ScriptedServer::readRequest(socket, 0);
        ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    const auto result = callWithDelayedLoop(server.url(), loopDelay);
    REQUIRE(result.has_value());
    CHECK(result->status == 200);
}

TEST_CASE("a call without an answer ends after its timeout")
{
    ScriptedServer server([](auto& socket, int) { ScriptedServer::readRequest(socket, 1); });
    const auto result = callWithDelayedLoop(server.url(), Milliseconds(0));
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == AsyncCallError::NoAnswer);
}
