#include "relay/RelayChoice.h"

#include <catch2/catch.hpp>
#include <map>

using namespace kingcuploom;
using namespace kingcuploom::relay;

namespace {

Member makeMember(const std::string& name, double share, double linkMbps, const std::string& domain = "north")
{
    return { DaemonId(name), Incarnation(1), Address("10.0.0.1:1"), FailureDomain(domain), share, linkMbps };
}

scheduler::WorkerId makeWorker(int i) { return scheduler::WorkerId("w" + std::to_string(i)); }

} // namespace

TEST_CASE("Workers are shared out in proportion to the smaller of core and link")
{
    const std::vector<Member> members { makeMember("large", 0.5, 200), makeMember("small", 0.1, 200), makeMember("narrow", 0.5, 6.25) };
    std::map<DaemonId, int> firsts;
    for (int i = 0; i < 7000; ++i)
        ++firsts[rankRelays(makeWorker(i), members).front()];
    CHECK(firsts[DaemonId("large")] == Approx(5000).epsilon(0.05));
    CHECK(firsts[DaemonId("small")] == Approx(1000).epsilon(0.1));
    CHECK(firsts[DaemonId("narrow")] == Approx(1000).epsilon(0.1));
}

TEST_CASE("The loss of a relay moves only its own workers")
{
    // Guards against all workers changing their relay, and all lists of runs being sent again, when one relay goes.
    const std::vector<Member> all { makeMember("a", 0.5, 200), makeMember("b", 0.5, 200), makeMember("c", 0.5, 200) };
    const std::vector<Member> rest { all[0], all[1] };
    for (int i = 0; i < 500; ++i) {
        const auto before = rankRelays(makeWorker(i), all);
        const auto after = rankRelays(makeWorker(i), rest);
        CHECK(after.front() == (before.front() == DaemonId("c") ? before[1] : before.front()));
    }
}

TEST_CASE("The largest nodes of the worker's own failure domain serve it, and more of them for more workers")
{
    std::vector<Member> members { makeMember("other", 0.5, 200, "south") };
    for (int i = 0; i < 8; ++i)
        members.push_back(makeMember("n" + std::to_string(i), i < 3 ? 0.5 : 0.1, 200));
    const auto few = selectRelays(members, FailureDomain("north"), 10);
    REQUIRE(few.size() == 2);
    CHECK(few.front().processorShare == 0.5);
    CHECK(selectRelays(members, FailureDomain("north"), 108).size() == 4);
    CHECK(selectRelays(members, FailureDomain("north"), 5000).size() == 8);
    CHECK(selectRelays(members, FailureDomain("west"), 10).empty());
}

TEST_CASE("Relays are used for large fleets and by leaders with a narrow link")
{
    CHECK_FALSE(needsRelays(66, 1000));
    CHECK(needsRelays(540, 200));
    CHECK(needsRelays(66, 2));
}
