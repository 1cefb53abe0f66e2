#include "NodeTestSupport.h"
#include "base/BootClock.h"
#include "node/OperatorView.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::node;
using namespace kingcuploom::node::test;

namespace {

constexpr Milliseconds maxAge { 2000 };
const MonotonicTime confirmedAt { std::chrono::hours(1) };

OperatorState makeState()
{
    Configuration configuration;
    configuration.routes.resize(1);
    configuration.routes.front().host = "host";
    configuration.routes.front().prefix = "/queue/";
    OperatorState state;
    state.configuration = configuration;
    state.confirmedAt = confirmedAt;
    return state;
}

} // namespace

// CONFIG (issue 50, review/9): a leader under load answered 404 for routes that were in force, as its view was seconds old.
TEST_CASE("A route is only said not to exist while the view of the configuration is recent")
{
    const auto state = makeState();
    const auto recent = findRoute(state, "host", "/other/", confirmedAt + maxAge, maxAge);
    REQUIRE_FALSE(recent);
    CHECK(recent.error() == RouteError::NoSuchRoute);
    const auto old = findRoute(state, "host", "/other/", confirmedAt + maxAge + Milliseconds(1), maxAge);
    REQUIRE_FALSE(old);
    CHECK(old.error() == RouteError::NotKnown);
}

// Guards against a node that serves nothing while the store is silent.
TEST_CASE("A route that is known is found however old the view is")
{
    const auto state = makeState();
    CHECK(findRoute(state, "host", "/queue/id", confirmedAt + maxAge * 10, maxAge));
}

TEST_CASE("No route is known before the first configuration")
{
    const auto found = findRoute({}, "host", "/queue/id", confirmedAt, maxAge);
    REQUIRE_FALSE(found);
    CHECK(found.error() == RouteError::NotKnown);
}

// CONFIG (issue 50, review/9): a leader whose watch had failed read each configuration since then, one after the other, and was 8 s behind.
TEST_CASE("The latest configuration is read after a failed watch without those before it")
{
    boost::asio::io_context loop { 1 };
    FakeAsyncStore store(loop);
    BootClock clock;
    const auto formats = makeFormats();
    store.put("op/config", "1");
    std::vector<std::int64_t> versions;
    OperatorView view(loop, store, clock, formats, [&] { versions.push_back(view.snapshot()->configuration->version); });
    view.start();
    REQUIRE(runUntil(loop, [&] { return versions.size() == 1; }));
    store.refusedWatch = "op/";
    for (const char* version : { "2", "3", "4" })
        store.put("op/config", version);
    CHECK(runUntil(loop, [&] { return versions.back() == 4; }));
    CHECK(versions == std::vector<std::int64_t> { 1, 4 });
    view.stop();
}
