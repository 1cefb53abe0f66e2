#include "ScriptedServer.h"
#include "base/BootClock.h"
#include "http/AsyncHttpClient.h"

#include "base/BootClock.h"

#include <atomic>
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

AsyncCall makeCall(const std::string& url, Milliseconds timeout)
{
    AsyncCall call;
    call.address = Address(url.substr(std::string("http://").size()));
    call.target = "/";
    call.timeout = timeout;
    return call;
}

// Runs the loop until the call has ended.
CallResult await(boost::asio::io_context& loop, const std::optional<CallResult>& result)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!result && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_one_for(Milliseconds(10));
    }
    REQUIRE(result);
    return *result;
}

// Runs the loop until the call has ended. Once the call is under way, the loop is blocked for the given time, as by work that takes longer
// than the limits of the call.
CallResult callWithDelayedLoop(const AsyncCall& call, Milliseconds delay)
{
    boost::asio::io_context loop { 1 };
    const BootClock clock;
    AsyncHttpClient client(loop, clock);
    std::optional<CallResult> result;
    client.call(call, [&](const CallResult& it) { result = it; });
    boost::asio::post(loop, [delay] { std::this_thread::sleep_for(delay); });
    return await(loop, result);
}

// Answers each request on each connection after the delay, and counts the requests.
struct CountingServer {
    explicit CountingServer(Milliseconds delay)
        : server([this, delay](auto& socket, int) {
            while (!ScriptedServer::readRequest(socket, 0).empty()) {
                ++requests;
                std::this_thread::sleep_for(delay);
                ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        })
    {
    }

    std::atomic<int> requests = 0;
    ScriptedServer server;
};

} // namespace

TEST_CASE("a call whose answer arrives while the loop is late is answered")
{
    // Guards against ending calls as unanswered for the delay of the own loop: an overloaded leader then repeats them on new connections,
    // which keeps it overloaded.
    ScriptedServer server([](auto& socket, int) {
        ScriptedServer::readRequest(socket, 0);
        ScriptedServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    const auto result = callWithDelayedLoop(makeCall(server.url(), callTimeout), loopDelay);
    REQUIRE(result.has_value());
    CHECK(result->status == 200);
}

TEST_CASE("a call without an answer ends after its timeout")
{
    ScriptedServer server([](auto& socket, int) { ScriptedServer::readRequest(socket, 1); });
    const auto result = callWithDelayedLoop(makeCall(server.url(), callTimeout), Milliseconds(0));
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == AsyncCallError::DeliveredUnanswered);
}

TEST_CASE("a call that was given up before its peer had it is not delivered any more")
{
    // Guards against an order that the kernel goes on sending after the caller has given it up, so that it arrives later than the caller
    // reckons with. The request is larger than what a peer that does not read takes, and fits into the buffer of the sender.
    constexpr std::size_t bodyBytes = 600 * 1024;
    std::atomic<bool> isGivenUp = false;
    std::atomic<bool> isReceivedWhole = false;
    std::atomic<bool> isRead = false;
    ScriptedServer server([&](auto& socket, int) {
        while (!isGivenUp)
            std::this_thread::sleep_for(Milliseconds(1));
        isReceivedWhole = !ScriptedServer::readRequest(socket, bodyBytes).empty();
        isRead = true;
    });
    auto call = makeCall(server.url(), callTimeout);
    call.method = "POST";
    call.body.assign(bodyBytes, 'x');
    const auto result = callWithDelayedLoop(call, Milliseconds(0));
    isGivenUp = true;
    while (!isRead)
        std::this_thread::sleep_for(Milliseconds(1));
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == AsyncCallError::NoAnswer);
    CHECK_FALSE(isReceivedWhole);
}

TEST_CASE("a request that its peer's host has received counts as delivered")
{
    // Guards against waiting longer than necessary for an order that may be carried out late: the peer has it, though it has not read it.
    std::atomic<bool> isOver = false;
    ScriptedServer server([&](auto&, int) {
        while (!isOver)
            std::this_thread::sleep_for(Milliseconds(1));
    });
    const auto result = callWithDelayedLoop(makeCall(server.url(), callTimeout), Milliseconds(0));
    isOver = true;
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == AsyncCallError::DeliveredUnanswered);
}

TEST_CASE("a call whose connection is up only after its send limit is not sent")
{
    // Guards against sending a start that was permitted by a view which has become too old while the loop was late (rule DRAIN).
    CountingServer peer(Milliseconds(0));
    auto call = makeCall(peer.server.url(), testTimeout);
    call.maxSendDelay = callTimeout;
    const auto result = callWithDelayedLoop(call, loopDelay);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == AsyncCallError::NotSentInTime);
    CHECK(peer.requests == 0);
}

TEST_CASE("a call that waits for a connection beyond its send limit is not sent")
{
    // The same for a start that waits behind the other calls to its worker.
    const bool isLoopLate = GENERATE(false, true);
    CountingServer peer(loopDelay);
    boost::asio::io_context loop { 1 };
    AsyncClientLimits limits;
    limits.maxConnections = 1;
    const BootClock clock;
    AsyncHttpClient client(loop, clock, limits);
    std::optional<CallResult> first;
    std::optional<CallResult> second;
    auto call = makeCall(peer.server.url(), testTimeout);
    client.call(call, [&](const CallResult& it) { first = it; });
    call.maxSendDelay = callTimeout;
    client.call(call, [&](const CallResult& it) { second = it; });
    while (peer.requests == 0)
        loop.run_one_for(Milliseconds(10));
    if (isLoopLate)
        boost::asio::post(loop, [] { std::this_thread::sleep_for(loopDelay * 2); });
    const auto result = await(loop, second);
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error() == AsyncCallError::NotSentInTime);
    CHECK(await(loop, first).has_value());
    CHECK(peer.requests == 1);
}

TEST_CASE("a call that was sent within its send limit may be answered after it")
{
    CountingServer peer(loopDelay);
    auto call = makeCall(peer.server.url(), testTimeout);
    call.maxSendDelay = callTimeout;
    const auto result = callWithDelayedLoop(call, Milliseconds(0));
    REQUIRE(result.has_value());
    CHECK(result->status == 200);
}

TEST_CASE("a call that was too late for its send limit leaves its connection for the next one")
{
    // Guards against opening a new connection at each try on a loop that is always late: the call then is never sent.
    const bool isRepeat = GENERATE(false, true);
    constexpr Milliseconds sendLimit { 50 };
    CountingServer peer(Milliseconds(0));
    boost::asio::io_context loop { 1 };
    const BootClock clock;
    AsyncHttpClient client(loop, clock);
    auto call = makeCall(peer.server.url(), testTimeout);
    call.maxSendDelay = sendLimit;
    call.isRepeat = isRepeat;
    bool isAnswered = false;
    for (int i = 0; i < 3 && !isAnswered; ++i) {
        std::optional<CallResult> result;
        // The call is made within a handler that then takes longer than the send limit.
        boost::asio::post(loop, [&] {
            client.call(call, [&](const CallResult& it) { result = it; });
            std::this_thread::sleep_for(sendLimit * 2);
        });
        isAnswered = await(loop, result).has_value();
    }
    CHECK(isAnswered);
    CHECK(peer.requests == 1);
}

TEST_CASE("a call that waits while the machine is suspended is not sent after its send limit")
{
    // Guards against a machine that wakes up and sends starts which were permitted before it was suspended. The steady clock does not count
    // that time, so the client goes by the clock that it is given.
    CountingServer peer(Milliseconds(0));
    boost::asio::io_context loop { 1 };
    ManualClock clock;
    AsyncHttpClient client(loop, clock);
    auto call = makeCall(peer.server.url(), testTimeout * 2);
    call.maxSendDelay = callTimeout;
    std::optional<CallResult> result;
    client.call(call, [&](const CallResult& it) { result = it; });
    clock.advance(testTimeout);
    await(loop, result);
    REQUIRE_FALSE(result->has_value());
    CHECK(result->error() == AsyncCallError::NotSentInTime);
    CHECK(peer.requests == 0);
}
