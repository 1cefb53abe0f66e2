#include "routing/LoadTable.h"
#include "routing/ShardChoice.h"

#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::routing;

namespace {

const FailureDomain north("north");
const FailureDomain south("south");

ShardCandidate candidate(const std::string& name, const FailureDomain& domain, int freeSlots, int queued = 0)
{
    return { ShardId(name), domain, 64, freeSlots, queued };
}

schema::LoadFigureT figure(std::uint64_t epoch, int freeSlots)
{
    schema::LoadFigureT result;
    result.service = "proof";
    result.shard = "a";
    result.epoch = epoch;
    result.free_slots = freeSlots;
    result.total_slots = 64;
    return result;
}

} // namespace

TEST_CASE("a shard whose domain is out of service or whose owner is unreachable gets no request, even with free slots")
{
    Random random(1);
    std::vector<ShardCandidate> all { candidate("a", north, 64), candidate("b", north, 64), candidate("c", south, 0, 30) };
    all[0].isOutOfService = true;
    all[1].isOwnerReachable = false;
    for (int i = 0; i < 200; ++i)
        CHECK(chooseShard(all, north, random) == 2);
    all[2].totalSlots = 0;
    CHECK_FALSE(chooseShard(all, north, random).has_value());
}

TEST_CASE("the daemon's own domain is preferred only while it has enough spare slots")
{
    Random random(2);
    std::vector<ShardCandidate> all { candidate("a", north, 20), candidate("b", south, 64) };
    for (int i = 0; i < 200; ++i)
        CHECK(chooseShard(all, north, random) == 0);
    all[0].freeSlots = 2;
    int remote = 0;
    for (int i = 0; i < 200; ++i)
        remote += chooseShard(all, north, random) == 1;
    CHECK(remote > 100);
}

TEST_CASE("power of two choices avoids a full shard")
{
    Random random(3);
    std::vector<ShardCandidate> all;
    all.reserve(8);
    for (int i = 0; i < 8; ++i)
        all.push_back(candidate("s" + std::to_string(i), south, i == 0 ? 0 : 30, i == 0 ? 50 : 0));
    int full = 0;
    for (int i = 0; i < 4000; ++i)
        full += chooseShard(all, north, random) == 0;
    // Chosen only if both draws hit it, with probability 1/64.
    CHECK(full < 120);
}

TEST_CASE("load figures of a previous owner and expired load figures are ignored")
{
    ManualClock clock;
    LoadTable loads;
    observe(loads, figure(2, 10), clock.now());
    observe(loads, figure(1, 60), clock.now());
    auto it = candidate("a", north, 0);
    applyLoad(loads, ServiceName("proof"), it, clock.now());
    CHECK(it.freeSlots == 10);
    countSent(loads, ServiceName("proof"), ShardId("a"));
    applyLoad(loads, ServiceName("proof"), it, clock.now());
    CHECK(spareSlots(it) == 9);
    clock.advance(std::chrono::seconds(10));
    auto expired = candidate("a", north, 0);
    applyLoad(loads, ServiceName("proof"), expired, clock.now());
    CHECK(expired.freeSlots == 0);
}
