#include "TakeoverTrial.h"

#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>

// Weighs the options of docs/design.md, section 4.2, and measures one decision at the planned size.
// Usage: ownership_benchmark [--json=FILE]

using namespace kingcuploom;
using namespace kingcuploom::trial;

namespace {

struct Option {
    const char* name;
    int primaryPerMille;
};

constexpr Option options[] = {
    { "a: stop", 0 },
    { "d: 4/4", 500 },
    { "d: 5/3", 625 },
    { "d: 6/2", 750 },
    { "d: 7/1", 875 },
    { "b: keep", 1000 },
};

constexpr Fault faults[]
    = { Fault::StoreOutage, Fault::ProcessKilled, Fault::VmLost, Fault::Frozen, Fault::FrozenThenWakes, Fault::KilledInStoreOutage };

struct Row {
    Option option;
    Fault fault;
    TrialResult result;
};

Row runRow(const Option& option, Fault fault)
{
    TrialSettings settings;
    settings.fault = fault;
    settings.primaryPerMille = option.primaryPerMille;
    if (fault == Fault::KilledInStoreOutage)
        settings.outage = Milliseconds(30000);
    return { option, fault, runTrial(settings) };
}

std::vector<Row> runAll()
{
    std::vector<Row> rows;
    for (const auto fault : faults) {
        for (const auto& option : options)
            rows.push_back(runRow(option, fault));
    }
    return rows;
}

std::string seconds(double ms)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.2f", ms / 1000);
    return ms < 0 ? "-" : buf;
}

void printTable(const std::vector<Row>& rows)
{
    std::printf("%-36s %-9s %13s %11s %14s %14s\n", "fault", "option", "average slots", "least slots", "any slot, s", "all slots, s");
    for (const auto& row : rows) {
        std::printf("%-36s %-9s %13.2f %11d %14s %14s\n", toString(row.fault), row.option.name, row.result.averageSlots,
            row.result.leastSlots, seconds(row.result.anySlotMs).c_str(), seconds(row.result.allSlotsMs).c_str());
    }
}

// Microseconds of one decision.
struct DecisionCost {
    double tickMicros = 0;
    double commitMicros = 0;
};

double microsPerCall(int calls, const std::function<void(int)>& call)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i)
        call(i);
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / calls;
}

DecisionCost measureDecisions(int shards, int members)
{
    using namespace ownership;
    State state;
    auto now = MonotonicTime(std::chrono::hours(1));
    state.self = { { DaemonId("d0"), Incarnation(1) }, Address("10.0.0.1:1") };
    MembersListed listed { {}, Revision(5), now };
    listed.members.reserve(static_cast<std::size_t>(members));
    for (int i = 0; i < members; ++i)
        listed.members.push_back({ { { DaemonId("d" + std::to_string(i)), Incarnation(static_cast<std::uint64_t>(i) + 1) },
                                       Address("10.0.0.1:" + std::to_string(i + 1)) },
            FailureDomain("north"), false });
    decide(state, LeaseGranted { LeaseId(1), now }, now);
    decide(state, MemberRegistered { LeaseId(1), Revision(4), false }, now);
    decide(state, listed, now);
    const auto seen = [&](int i, std::int64_t revision) {
        const auto id = ShardId("north.r" + std::to_string(i % shards));
        const auto owner = desiredOwner(state, id);
        return ShardSeen { id,
            { state.members.at(*owner).process, Epoch(1), {}, WriteId(static_cast<std::uint64_t>(revision)), Revision(revision) },
            std::nullopt };
    };
    for (int i = 0; i < shards; ++i)
        decide(state, seen(i, 10 + i), now);
    decide(state, ShardsListed {}, now);
    std::vector<ShardSeen> commits;
    commits.reserve(static_cast<std::size_t>(shards));
    for (int i = 0; i < shards; ++i)
        commits.push_back(seen(i, 0));
    DecisionCost cost;
    cost.tickMicros = microsPerCall(2000, [&](int) { decide(state, Tick {}, now += std::chrono::microseconds(1)); });
    cost.commitMicros = microsPerCall(20000, [&](int i) {
        auto& event = commits[static_cast<std::size_t>(i % shards)];
        event.record.revision = Revision(1000 + i);
        event.record.writeId = WriteId(static_cast<std::uint64_t>(1000 + i));
        decide(state, event, now);
    });
    return cost;
}

std::string toJson(const std::vector<Row>& rows, const DecisionCost& today, const DecisionCost& planned)
{
    std::string json = "{\n  \"trials\": [\n";
    for (const auto& row : rows) {
        char buf[400];
        std::snprintf(buf, sizeof(buf),
            "    {\"fault\": \"%s\", \"option\": \"%s\", \"primary_per_mille\": %d, \"average_slots\": %.3f, \"least_slots\": %d, "
            "\"any_slot_ms\": %.0f, \"all_slots_ms\": %.0f}%s\n",
            toString(row.fault), row.option.name, row.option.primaryPerMille, row.result.averageSlots, row.result.leastSlots,
            row.result.anySlotMs, row.result.allSlotsMs, &row == &rows.back() ? "" : ",");
        json += buf;
    }
    char buf[400];
    std::snprintf(buf, sizeof(buf),
        "  ],\n  \"decision_micros\": {\n    \"16_shards_7_members\": {\"tick\": %.2f, \"commit\": %.3f},\n"
        "    \"256_shards_60_members\": {\"tick\": %.2f, \"commit\": %.3f}\n  }\n}\n",
        today.tickMicros, today.commitMicros, planned.tickMicros, planned.commitMicros);
    return json + buf;
}

} // namespace

int main(int argc, char** argv)
{
    const auto rows = runAll();
    printTable(rows);
    const auto today = measureDecisions(16, 7);
    const auto planned = measureDecisions(256, 60);
    std::printf("\ndecision, us: 16 shards, 7 members: tick %.2f, commit %.3f; 256 shards, 60 members: tick %.2f, commit %.3f\n",
        today.tickMicros, today.commitMicros, planned.tickMicros, planned.commitMicros);
    for (int i = 1; i < argc; ++i) {
        if (std::strncmp(argv[i], "--json=", 7) == 0)
            std::ofstream(argv[i] + 7) << toJson(rows, today, planned);
    }
    return 0;
}
