#include "RelayWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace kingcuploom;
using namespace kingcuploom::relay;
using namespace kingcuploom::relay::test;

namespace {

bool isSameRun(const scheduler::ListedRun& a, const scheduler::ListedRun& b)
{
    return a.run == b.run && a.checkpoint == b.checkpoint && a.percent == b.percent && a.figure == b.figure;
}

RunList sorted(RunList list)
{
    std::ranges::sort(list, {}, &scheduler::ListedRun::run);
    return list;
}

RunList makeList(std::mt19937_64& random)
{
    RunList list;
    for (std::uint32_t i = 0; i < 12; ++i) {
        if (random() % 3 != 0)
            list.push_back({ makeRun("job", i), "c" + std::to_string(random() % 2), static_cast<int>(random() % 3),
                static_cast<std::int64_t>(random() % 2) });
    }
    std::ranges::shuffle(list, random);
    return list;
}

} // namespace

TEST_CASE("A list of runs is the same after it was sent as a difference from any other list")
{
    // Guards against a leader that misses a run, or takes one that has gone for running.
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {
        const auto base = makeList(random);
        const auto list = makeList(random);
        schema::RelayReportT report;
        encodeRuns(base, list, report);
        const auto decoded = decodeRuns(base, report);
        REQUIRE(decoded);
        REQUIRE(std::ranges::equal(sorted(*decoded), sorted(list), isSameRun));
    }
}

TEST_CASE("Lists stay the same over a series of differences, in whatever order a worker lists its runs")
{
    // Guards against positions that mean other runs for the leader than for the relay (soak seed 502: runs counted as missing while they
    // were executed, and their tasks were started again).
    std::mt19937_64 random(2);
    RunList sent;
    RunList received;
    for (int i = 0; i < 500; ++i) {
        const auto list = makeList(random);
        schema::RelayReportT report;
        sent = encodeRuns(sent, list, report);
        const auto decoded = decodeRuns(received, report);
        REQUIRE(decoded);
        received = *decoded;
        REQUIRE(std::ranges::equal(sorted(received), sorted(list), isSameRun));
    }
}

TEST_CASE("Differences that do not fit the base are refused")
{
    // Guards against an access outside the list, after a message that was damaged or belongs to another base.
    const RunList base { { makeRun("job"), "", 1, 1 } };
    schema::RelayReportT reading;
    reading.readings.emplace_back(1, 1, 1);
    CHECK_FALSE(decodeRuns(base, reading));
    schema::RelayReportT removed;
    removed.removed.push_back(1);
    CHECK_FALSE(decodeRuns(base, removed));
    schema::RelayReportT checkpoint;
    checkpoint.checkpoints.push_back(nullptr);
    CHECK_FALSE(decodeRuns(base, checkpoint));
    schema::RelayReportT run;
    run.runs.push_back(std::make_unique<schema::RelayRunT>());
    CHECK_FALSE(decodeRuns(base, run));
    schema::RelayReportT end;
    end.ends.push_back(std::make_unique<schema::RelayEndT>());
    CHECK_FALSE(decodeEnds(end));
    schema::RelayReportT kind;
    encodeEnds({ { scheduler::EndNumber(1), makeRun("job"), scheduler::EndKind::Done, "" } }, kind);
    kind.ends.front()->kind = 99;
    CHECK_FALSE(decodeEnds(kind));
}
