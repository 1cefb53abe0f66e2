#include "node/OperatorView.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::node;

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
