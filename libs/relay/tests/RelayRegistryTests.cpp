#include "FakeAsyncStore.h"
#include "base/BootClock.h"
#include "relay/RelayRegistry.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::relay;
using kingcuploom::node::test::FakeAsyncStore;

namespace {

constexpr Milliseconds testTimeout { 5000 };

bool runUntil(boost::asio::io_context& loop, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(Milliseconds(2));
    }
    return condition();
}

struct RegistryFixture {
    RegistryFixture(boost::asio::io_context& loop, FakeAsyncStore& store)
        : registry(std::make_shared<RelayRegistry>(loop, store, clock,
            RegistryCallbacks { [this](const std::string& it) { key = it; }, [this](const std::vector<Member>& it) { members = it; } }))
    {
    }

    BootClock clock;
    std::string key;
    std::optional<std::vector<Member>> members;
    std::shared_ptr<RelayRegistry> registry;
};

Member makeMember(const std::string& name, std::uint64_t incarnation = 1)
{
    return { DaemonId(name), Incarnation(incarnation), Address("10.0.0.1:7720"), FailureDomain("north"), 0.5, 200 };
}

} // namespace

TEST_CASE("Nodes that start at the same time agree on one key of their links")
{
    boost::asio::io_context loop { 1 };
    FakeAsyncStore store(loop);
    RegistryFixture first(loop, store);
    RegistryFixture second(loop, store);
    // The first node's write takes effect and its answer is lost.
    store.answersToLose = 1;
    first.registry->readLinkKey();
    second.registry->readLinkKey();
    REQUIRE(runUntil(loop, [&] { return !first.key.empty() && !second.key.empty(); }));
    CHECK(first.key == second.key);
    CHECK(first.key.size() == 32);
}

TEST_CASE("A leader learns of nodes that join, and of those that leave, but not of unreadable entries")
{
    boost::asio::io_context loop { 1 };
    FakeAsyncStore store(loop);
    RegistryFixture node(loop, store);
    RegistryFixture leader(loop, store);
    store.put(std::string(memberPrefix) + "odd", "not a record");
    leader.registry->setWatching(true);
    node.registry->join(makeMember("relay"));
    REQUIRE(runUntil(loop, [&] { return leader.members && leader.members->size() == 1; }));
    CHECK(leader.members->front() == makeMember("relay"));
    node.registry->leave();
    CHECK(runUntil(loop, [&] { return leader.members->empty(); }));
}

TEST_CASE("A leader that starts anew does not learn of a node that has left, and learns the new incarnation of one that restarted")
{
    // Guards against a node that has gone being used again after a restart of the leader.
    boost::asio::io_context loop { 1 };
    FakeAsyncStore store(loop);
    RegistryFixture gone(loop, store);
    RegistryFixture restarted(loop, store);
    gone.registry->join(makeMember("gone"));
    restarted.registry->join(makeMember("restarted", 1));
    const std::string goneKey = std::string(memberPrefix) + "gone";
    REQUIRE(runUntil(loop, [&] { return store.find(goneKey) && store.find(std::string(memberPrefix) + "restarted"); }));
    gone.registry->leave();
    REQUIRE(runUntil(loop, [&] { return !store.find(goneKey); }));
    RegistryFixture later(loop, store);
    later.registry->join(makeMember("restarted", 2));
    RegistryFixture leader(loop, store);
    leader.registry->setWatching(true);
    REQUIRE(runUntil(loop, [&] { return leader.members && leader.members->front().incarnation == Incarnation(2); }));
    CHECK(leader.members->size() == 1);
}

TEST_CASE("An entry that is written late does not replace the one with the lease that the node renews")
{
    // Guards against a relay whose entry goes with a lease that nobody renews, while the node takes itself for registered.
    boost::asio::io_context loop { 1 };
    FakeAsyncStore store(loop);
    RegistryFixture node(loop, store);
    const std::string key = std::string(memberPrefix) + "relay";
    store.lateKey = key;
    node.registry->join(makeMember("relay"));
    REQUIRE(runUntil(loop, [&] { return store.find(key).has_value(); }));
    const auto lease = store.getLease(key);
    REQUIRE(store.isCommitLate());
    store.carryOutLate();
    CHECK(store.getLease(key) == lease);
}

TEST_CASE("A node whose lease has lapsed registers again")
{
    // Guards against a fleet without relays after an outage of the store in which leases lapse.
    boost::asio::io_context loop { 1 };
    FakeAsyncStore store(loop);
    RegistryFixture node(loop, store);
    node.registry->join(makeMember("relay"));
    const std::string key = std::string(memberPrefix) + "relay";
    REQUIRE(runUntil(loop, [&] { return store.find(key).has_value(); }));
    store.expireLease(store.getLease(key));
    REQUIRE_FALSE(store.find(key));
    CHECK(runUntil(loop, [&] { return store.find(key).has_value(); }));
}
