#include "ConfigSupport.h"
#include "resources/StartGate.h"
#include "schema/JsonCodec.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::testing;
using namespace kingcuploom::testing::operators;
using resources::ResourceKey;
using schema::DomainState;
using schema::ResourceKind;

namespace {

const ResourceKey glazeKey { ResourceKind::Team, "glaze" };
const ResourceKey northKey { ResourceKind::FailureDomain, "north" };

std::uint32_t storedWeight(FakeStore& store)
{
    const auto entry = store.get(makeStoreKey(glazeKey));
    return schema::parseResource((*entry)->value, "test")->team->weight;
}

} // namespace

TEST_CASE("of two operators who change the same revision one gets a conflict with both sides")
{
    FakeStore store;
    ConfigNode first(store, "d1");
    ConfigNode second(store, "d2");
    const auto created = first.service.apply(teamOf("glaze", 100), Revision(), "ana");
    REQUIRE(created.has_value());
    const auto revision = created->declared.revision;
    REQUIRE(second.service.refresh().has_value());

    // The other operator's write arrives between the check and the write of this one.
    second.store.beforeWrite = [&] { CHECK(first.service.apply(teamOf("glaze", 200), revision, "ana").has_value()); };
    const auto raced = second.service.apply(teamOf("glaze", 300), revision, "bo");
    REQUIRE_FALSE(raced.has_value());
    CHECK(raced.error().code == ConfigErrorCode::Conflict);
    REQUIRE(raced.error().current);
    CHECK(raced.error().current->team->weight == 200);
    CHECK(raced.error().current->updated_by == "ana");
    CHECK(raced.error().currentRevision > revision);
    CHECK(raced.error().submitted->team->weight == 300);
    CHECK(storedWeight(store) == 200);

    // The same without the close race: found by the check before the write.
    const auto late = second.service.apply(teamOf("glaze", 300), revision, "bo");
    REQUIRE_FALSE(late.has_value());
    CHECK(late.error().code == ConfigErrorCode::Conflict);
    CHECK(storedWeight(store) == 200);
}

TEST_CASE("creating a resource that exists is a conflict, and repeating the same declaration changes nothing")
{
    FakeStore store;
    ConfigNode node(store);
    const auto created = node.service.apply(teamOf("glaze", 100), Revision(), "ana");
    REQUIRE(created.has_value());
    CHECK(node.service.apply(teamOf("glaze", 101), Revision(), "bo").error().code == ConfigErrorCode::Conflict);
    const auto repeated = node.service.apply(teamOf("glaze", 100), Revision(), "bo");
    REQUIRE(repeated.has_value());
    CHECK_FALSE(repeated->isChanged);
    CHECK(repeated->declared.revision == created->declared.revision);
    CHECK(node.store.writeCalls == 1);
}

TEST_CASE("a change whose answer was lost is stored once and reported as stored")
{
    FakeStore store;
    ConfigNode node(store);
    store.lostAnswers = 1;
    const auto result = node.service.apply(teamOf("glaze", 100), Revision(), "ana");
    REQUIRE(result.has_value());
    CHECK(result->isChanged);
    const auto entry = store.get(makeStoreKey(glazeKey));
    CHECK((*entry)->modRevision == result->declared.revision);
    CHECK(node.sink.events().size() == 1);

    store.lostAnswers = 1;
    CHECK(node.service.remove(glazeKey, result->declared.revision, "ana").has_value());
}

TEST_CASE("a change whose outcome cannot be found out is reported as unknown, never as refused")
{
    FakeStore store;
    ConfigNode node(store);
    using enum store::StoreErrorCode;
    node.store.writeFailures = { OutcomeUnknown, Unavailable, Unavailable };
    CHECK(node.service.apply(teamOf("glaze"), Revision(), "ana").error().code == ConfigErrorCode::OutcomeUnknown);

    // The first write may have been stored and replaced by the other operator.
    ConfigNode other(store, "d2");
    node.store.writeFailures = { OutcomeUnknown };
    node.store.beforeWrite = [&] { CHECK(other.service.apply(teamOf("glaze", 200), Revision(), "bo").has_value()); };
    const auto result = node.service.apply(teamOf("glaze", 300), Revision(), "ana");
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().code == ConfigErrorCode::OutcomeUnknown);
    CHECK(result.error().current->team->weight == 200);
}

TEST_CASE("while the store is down a change is refused and nothing is stored")
{
    FakeStore store;
    ConfigNode node(store);
    store.isDown = true;
    CHECK(node.service.apply(teamOf("glaze"), Revision(), "ana").error().code == ConfigErrorCode::StoreUnavailable);
    store.isDown = false;
    node.store.writeFailures = { store::StoreErrorCode::Unavailable };
    CHECK(node.service.apply(teamOf("glaze"), Revision(), "ana").error().code == ConfigErrorCode::StoreUnavailable);
    CHECK(store.list("/", Revision())->entries.empty());
}

TEST_CASE("a refused resource stores nothing and lists every problem")
{
    FakeStore store;
    ConfigNode node(store);
    auto bad = teamOf("Glaze", 0);
    bad.deleted = true;
    const auto result = node.service.apply(std::move(bad), Revision(), "ana");
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().code == ConfigErrorCode::Invalid);
    CHECK(result.error().problems.size() == 3);
    CHECK(node.store.writeCalls == 0);
    CHECK(node.sink.events().empty());
}

TEST_CASE("a trial makes the checks and stores nothing")
{
    FakeStore store;
    ConfigNode node(store);
    CHECK(node.service.apply(teamOf("glaze"), Revision(), "ana", ApplyMode::Trial).has_value());
    CHECK(node.service.apply(teamOf("glaze"), Revision(5), "ana", ApplyMode::Trial).error().code == ConfigErrorCode::Conflict);
    CHECK(node.service.remove(glazeKey, Revision(), "ana", ApplyMode::Trial).error().code == ConfigErrorCode::NotFound);
    CHECK(node.store.writeCalls == 0);
}

TEST_CASE("an accepted change never reverts when the store answers with an older state")
{
    FakeStore store;
    ConfigNode node(store);
    const auto created = node.service.apply(teamOf("glaze", 100), Revision(), "ana");
    const auto old = store.list(resources::storeKeyPrefix, Revision());
    REQUIRE(node.service.apply(teamOf("glaze", 200), created->declared.revision, "ana").has_value());
    const auto confirmedAt = node.service.confirmedAt();
    node.clock.advance(std::chrono::seconds(1));

    node.store.nextListing = *old;
    CHECK_FALSE(node.service.refresh().has_value());
    CHECK(node.service.snapshot()->teams.at(TeamName("glaze")).weight == 200);
    CHECK(node.service.confirmedAt() == confirmedAt);

    // A revision that only the watch has shown makes the state before it an older one, too.
    FakeStore watchedStore;
    ConfigNode writer(watchedStore, "d1");
    ConfigNode watching(watchedStore, "d2");
    watching.settings.config_poll_ms = 600'000;
    watching.service.start();
    REQUIRE(eventually([&] { return watching.service.confirmedAt().has_value(); }));
    const auto before = watchedStore.list(resources::storeKeyPrefix, Revision());
    REQUIRE(writer.service.apply(teamOf("glaze", 300), Revision(), "ana").has_value());
    REQUIRE(eventually([&] { return watching.service.find(glazeKey).has_value(); }));
    watching.store.nextListing = *before;
    CHECK_FALSE(watching.service.refresh().has_value());
    watching.service.stop();

    // An older entry in an answer of the right revision.
    auto mixed = *old;
    mixed.storeRevision = Revision(100);
    node.store.nextListing = mixed;
    CHECK(node.service.refresh().has_value());
    CHECK(node.service.snapshot()->teams.at(TeamName("glaze")).weight == 200);
}

TEST_CASE("with the order of revisions switched off an older state reverts a change")
{
    FakeStore store;
    ConfigNode node(store);
    auto settings = node.settings;
    settings.test_faults = { "revision-order" };
    prometheus::Registry registry;
    ConfigService unguarded(settings, node.clock, node.store, node.sink, registry);
    const auto created = unguarded.apply(teamOf("glaze", 100), Revision(), "ana");
    const auto old = store.list(resources::storeKeyPrefix, Revision());
    REQUIRE(unguarded.apply(teamOf("glaze", 200), created->declared.revision, "ana").has_value());
    node.store.nextListing = *old;
    CHECK(unguarded.refresh().has_value());
    CHECK(unguarded.snapshot()->teams.at(TeamName("glaze")).weight == 100);
}

TEST_CASE("the start gate closes when the configuration is not confirmed and opens after the store is back")
{
    FakeStore store;
    ConfigNode node(store);
    const FailureDomain north("north");
    const Milliseconds maxAge(2000);
    const auto mayStartNow = [&] { return resources::isStartAllowed(node.service, north, node.clock.now(), maxAge); };
    CHECK_FALSE(mayStartNow());
    REQUIRE(node.service.refresh().has_value());
    CHECK(mayStartNow());
    store.isDown = true;
    node.clock.advance(maxAge);
    CHECK_FALSE(node.service.refresh().has_value());
    CHECK(mayStartNow());
    node.clock.advance(Milliseconds(1));
    CHECK_FALSE(mayStartNow());

    // Meanwhile the domain was taken out of service through another daemon.
    store.isDown = false;
    ConfigNode other(store, "d2");
    REQUIRE(other.service.apply(domainOf("north", DomainState::OutOfService), Revision(), "ana").has_value());
    REQUIRE(node.service.refresh().has_value());
    CHECK(resources::getStartRefusal(node.service, north, node.clock.now(), maxAge) == resources::StartRefusal::DomainOutOfService);
}

TEST_CASE("the time of a confirmation is the time of sending the read")
{
    FakeStore store;
    ConfigNode node(store);
    REQUIRE(node.service.refresh().has_value());
    const auto sentAt = node.clock.now();
    node.clock.advance(Milliseconds(700));
    REQUIRE(node.service.refresh().has_value());
    CHECK(node.service.confirmedAt() == sentAt + Milliseconds(700));
}

TEST_CASE("a lost watch is replaced after a complete read, so that no change is missed")
{
    FakeStore store;
    ConfigNode writer(store, "d1");
    ConfigNode node(store, "d2");
    node.service.start();
    REQUIRE(eventually([&] { return node.service.confirmedAt().has_value(); }));
    node.store.isWatchStalled = true;
    const auto created = writer.service.apply(teamOf("glaze", 100), Revision(), "ana");
    // The confirming read finds the change that the stalled watch does not show.
    CHECK(eventually([&] { return node.service.find(glazeKey).has_value(); }));
    // A key that left the store is seen by the complete read only.
    REQUIRE(store.compareAndDelete(makeStoreKey(glazeKey), created->declared.revision).has_value());
    node.store.isWatchStalled = false;
    node.store.loseWatches();
    CHECK(eventually([&] { return !node.service.find(glazeKey).has_value(); }));
    CHECK(writer.service.refresh().has_value());
    // The new watch delivers.
    const auto revision = node.service.list().revision;
    REQUIRE(writer.service.apply(domainOf("north", DomainState::OutOfService), Revision(), "ana").has_value());
    const auto changes = node.service.waitForChanges(revision, std::chrono::seconds(20));
    REQUIRE(changes.has_value());
    REQUIRE_FALSE(changes->empty());
    CHECK(changes->front().key == northKey);
    node.service.stop();
}

TEST_CASE("a newer revision reported by a peer triggers a read before the next poll")
{
    FakeStore store;
    ConfigNode writer(store, "d1");
    ConfigNode node(store, "d2");
    // Far above the duration of this test: only the report can cause the second read.
    node.settings.config_poll_ms = 600'000;
    node.service.start();
    REQUIRE(eventually([&] { return node.service.confirmedAt().has_value(); }));
    node.store.isWatchStalled = true;
    const auto created = writer.service.apply(teamOf("glaze"), Revision(), "ana");
    const int before = node.store.listCalls;
    node.service.noteRevision(Revision());
    node.service.noteRevision(created->declared.revision);
    CHECK(eventually([&] { return node.service.find(glazeKey).has_value(); }));
    CHECK(node.store.listCalls == before + 1);
    node.service.noteRevision(created->declared.revision);
    node.service.stop();
    CHECK(node.store.listCalls == before + 1);
}

TEST_CASE("a deletion leaves a tombstone, so that every daemon sees it, and the name can be used again")
{
    FakeStore store;
    ConfigNode first(store, "d1");
    ConfigNode second(store, "d2");
    const auto created = first.service.apply(teamOf("glaze"), Revision(), "ana");
    REQUIRE(second.service.refresh().has_value());
    REQUIRE(first.service.remove(glazeKey, created->declared.revision, "ana").has_value());
    REQUIRE(second.service.refresh().has_value());
    CHECK_FALSE(second.service.find(glazeKey).has_value());
    CHECK(second.service.snapshot()->teams.empty());
    CHECK(second.service.apply(teamOf("glaze", 7), Revision(), "bo").has_value());
    CHECK(storedWeight(store) == 7);
}

TEST_CASE("a name can be used again when its tombstone leaves the store at the same moment")
{
    FakeStore store;
    ConfigNode node(store);
    const auto created = node.service.apply(teamOf("glaze"), Revision(), "ana");
    const auto removed = node.service.remove(glazeKey, created->declared.revision, "ana");
    node.store.beforeWrite = [&] { CHECK(store.compareAndDelete(makeStoreKey(glazeKey), removed->declared.revision).has_value()); };
    CHECK(node.service.apply(teamOf("glaze", 7), Revision(), "bo").has_value());
    CHECK(storedWeight(store) == 7);
}

TEST_CASE("a tombstone leaves the store after an hour")
{
    FakeStore store;
    ConfigNode node(store);
    node.service.start();
    const auto created = node.service.apply(teamOf("glaze"), Revision(), "ana");
    REQUIRE(node.service.remove(glazeKey, created->declared.revision, "ana").has_value());
    const auto isStored = [&] { return store.get(makeStoreKey(glazeKey))->has_value(); };
    node.clock.advance(std::chrono::minutes(59));
    const int before = node.store.listCalls;
    REQUIRE(eventually([&] { return node.store.listCalls > before + 1; }));
    CHECK(isStored());
    node.clock.advance(std::chrono::minutes(1));
    CHECK(eventually([&] { return !isStored(); }));
    node.service.stop();
}

TEST_CASE("the largest write id survives the store, so that every own write is recognised")
{
    auto resource = teamOf("glaze");
    resource.write_id = std::numeric_limits<std::uint64_t>::max();
    const auto parsed = schema::parseResource(schema::toJson(resource), "test");
    REQUIRE(parsed.has_value());
    CHECK(parsed->write_id == resource.write_id);
}

TEST_CASE("an unreadable stored resource does not replace the last readable one")
{
    FakeStore store;
    ConfigNode node(store);
    const auto created = node.service.apply(teamOf("glaze", 100), Revision(), "ana");
    REQUIRE(store.compareAndSwap(makeStoreKey(glazeKey), created->declared.revision, "{ broken", LeaseId()).has_value());
    REQUIRE(node.service.refresh().has_value());
    CHECK(node.service.snapshot()->teams.at(TeamName("glaze")).weight == 100);
}
