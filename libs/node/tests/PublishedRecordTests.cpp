#include "FakeAsyncStore.h"
#include "node/PublishedRecord.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::node;
using namespace kingcuploom::node::test;

namespace {

constexpr char key[] = "kc/record";
constexpr char termKey[] = "kc/term";

struct Fixture {
    Fixture()
    {
        store.put(termKey, "node");
        term = store.find(termKey)->revision;
        record = std::make_shared<PublishedRecord>(store, key, std::vector<StoreCondition> { { termKey, term } });
    }

    void update(const std::string& value)
    {
        record->update(value);
        loop.restart();
        loop.run();
    }

    std::string stored() const { return store.find(key) ? store.find(key)->value : "nothing"; }

    boost::asio::io_context loop { 1 };
    FakeAsyncStore store { loop };
    Revision term;
    std::shared_ptr<PublishedRecord> record;
};

} // namespace

// MIXED: the number of waiting jobs was written under the condition of the term alone, so an older number replaced a newer one.
TEST_CASE_METHOD(Fixture, "A write that is carried out late does not replace a newer value", "[record]")
{
    store.lateKey = key;
    update("3");
    CHECK(stored() == "nothing");
    update("12");
    CHECK(stored() == "12");
    store.carryOutLate();
    CHECK(stored() == "12");
}

// MIXED: the value was the same as the last one that was stored, so it was not written again, and the late write in between stayed.
TEST_CASE_METHOD(Fixture, "A value that returns to the stored one is written again after a write without a response", "[record]")
{
    update("3");
    store.lateKey = key;
    update("12");
    update("3");
    store.carryOutLate();
    CHECK(stored() == "3");
}

// Guards against a record that is never written again because its condition no longer holds.
TEST_CASE_METHOD(Fixture, "A value replaces a late write that was carried out, and the record of an earlier process", "[record]")
{
    store.put(key, "of an earlier process");
    update("1");
    CHECK(stored() == "1");
    store.lateKey = key;
    update("3");
    store.carryOutLate();
    CHECK(stored() == "3");
    update("12");
    CHECK(stored() == "12");
    store.answersToLose = 1;
    update("13");
    update("14");
    CHECK(stored() == "14");
}

// Guards against calls to the store for values that it holds.
TEST_CASE_METHOD(Fixture, "A value that the store holds is not written again", "[record]")
{
    update("3");
    const auto commits = store.commits;
    update("3");
    CHECK(store.commits == commits);
}

// Guards against a node that has lost its term and overwrites the record of its successor.
TEST_CASE_METHOD(Fixture, "A record of an earlier term is not written", "[record]")
{
    update("3");
    store.put(termKey, "other");
    store.put(key, "of the successor");
    update("4");
    update("5");
    CHECK(stored() == "of the successor");
}
