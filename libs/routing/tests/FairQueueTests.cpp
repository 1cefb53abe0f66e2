#include "routing/FairQueue.h"

#include <catch2/catch.hpp>

#include <map>

using namespace kingcuploom;
using namespace kingcuploom::routing;

namespace {

QueuedCall call(std::uint64_t id, const std::string& team, int deadlineMs)
{
    return { CallId(id), TeamName(team), MonotonicTime(), MonotonicTime() + Milliseconds(deadlineMs) };
}

} // namespace

TEST_CASE("calls of a team are served by earliest deadline, and equal deadlines in order of arrival")
{
    FairQueue queue;
    push(queue, call(1, "a", 300), 100);
    push(queue, call(2, "a", 100), 100);
    push(queue, call(3, "a", 300), 100);
    push(queue, call(4, "a", 200), 100);
    CHECK(callsAhead(queue, TeamName("a"), MonotonicTime() + Milliseconds(300)) == 4);
    CHECK(callsAhead(queue, TeamName("a"), MonotonicTime() + Milliseconds(150)) == 1);
    for (const std::uint64_t expected : { 2, 4, 1, 3 })
        CHECK(pop(queue)->id == CallId(expected));
    CHECK_FALSE(pop(queue).has_value());
}

TEST_CASE("a flooding team does not starve another, and weights set the shares")
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 400; ++i)
        push(queue, call(++id, "flood", 1000), 100);
    for (int i = 0; i < 100; ++i)
        push(queue, call(++id, "small", 1000), 300);
    std::map<TeamName, int> served;
    for (int i = 0; i < 100; ++i) {
        const auto next = pop(queue);
        ++served[next->team];
        charge(queue, next->team, 10);
    }
    CHECK(served[TeamName("small")] >= 74);
    CHECK(served[TeamName("small")] <= 76);
}

TEST_CASE("a team earns no credit while it is idle")
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 100; ++i)
        push(queue, call(++id, "steady", 1000), 100);
    for (int i = 0; i < 50; ++i)
        charge(queue, pop(queue)->team, 10);
    for (int i = 0; i < 50; ++i)
        push(queue, call(++id, "late", 1000), 100);
    int late = 0;
    for (int i = 0; i < 40; ++i) {
        const auto next = pop(queue);
        late += next->team == TeamName("late");
        charge(queue, next->team, 10);
    }
    CHECK(late >= 19);
    CHECK(late <= 21);
}

TEST_CASE("a removed call is not served, and the queue size is updated")
{
    FairQueue queue;
    push(queue, call(1, "a", 100), 100);
    push(queue, call(2, "b", 100), 100);
    CHECK(remove(queue, CallId(1)).has_value());
    CHECK_FALSE(remove(queue, CallId(1)).has_value());
    CHECK(queue.size == 1);
    CHECK(pop(queue)->id == CallId(2));
}
