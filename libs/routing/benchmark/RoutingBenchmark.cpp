#include "Trial.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <thread>

// Simulates the routing decisions. Usage: routing_benchmark [--json=FILE] [--only=VARIANT|fairness|sizes] [--load=PERCENT] [--threads=N]
// [--service-ms=MS]

using namespace kingcuploom;
using namespace kingcuploom::trial;

namespace {

constexpr std::uint64_t seeds[] = { 11, 12, 13, 14, 15 };

struct Case {
    Site site;
    Variant variant;
    Load load;
    std::vector<Result> runs;
};

std::vector<Variant> loadVariants()
{
    return {
        { .name = "ideal", .arrangement = Arrangement::IdealSharedQueue },
        { .name = "split", .arrangement = Arrangement::SlotSplit },
        { .name = "random", .choice = routing::ShardChoiceRule::RandomOnly, .maxRelays = 0 },
        { .name = "two-choices", .maxRelays = 0, .hasLoadsInAnswers = false },
        { .name = "two-choices+answer-loads", .maxRelays = 0 },
        { .name = "shards" },
        { .name = "shards-owners-in-domain", .hasOwnersInDomain = true },
    };
}

std::vector<Variant> overloadVariants()
{
    return {
        { .name = "mixed-deadlines-first-come", .order = routing::QueueOrder::Fifo, .hasMixedDeadlines = true },
        { .name = "mixed-deadlines-earliest-deadline", .hasMixedDeadlines = true },
    };
}

std::vector<Variant> failureVariants()
{
    return {
        { .name = "failing-10%-no-retry-no-ejection", .retryPerMille = 0, .failingPerMille = 100, .maxEjectedPerMille = 0 },
        { .name = "failing-10%-retry-no-ejection", .failingPerMille = 100, .maxEjectedPerMille = 0 },
        { .name = "failing-10%-no-retry", .retryPerMille = 0, .failingPerMille = 100 },
        { .name = "failing-10%-retry", .failingPerMille = 100 },
    };
}

void addCases(std::vector<Case>& cases, const Site& site, const std::vector<Variant>& variants, const std::vector<double>& shares,
    const std::vector<bool>& skews, double serviceMs)
{
    for (const bool isSkewed : skews) {
        for (const double share : shares) {
            for (const auto& variant : variants)
                cases.push_back({ site, variant, { .share = share, .isSkewed = isSkewed, .meanServiceMs = serviceMs }, {} });
        }
    }
}

std::vector<Case> makeCases(double serviceMs)
{
    // Sizes and delays from docs/design.md, section 1.6.
    const Site fifty { .name = "50x8" };
    const Site sixtyFive { .name = "65x8", .executors = 65, .vmsPerRack = 11, .betweenDomainsMs = 1, .clientMs = 3 };
    std::vector<Case> cases;
    for (const auto& site : { fifty, sixtyFive }) {
        addCases(cases, site, loadVariants(), { 0.5, 0.7, 0.9, 1.0, 1.1, 2.0 }, { false, true }, serviceMs);
        addCases(cases, site, overloadVariants(), { 0.9, 1.1, 2.0 }, { false }, serviceMs);
        addCases(cases, site, failureVariants(), { 0.7, 0.9 }, { false }, serviceMs);
        addCases(cases, site, { { .name = "portion-6-of-8", .allowedSlots = 6 } }, { 0.5, 0.7, 0.9 }, { false }, serviceMs);
    }
    return cases;
}

// Four teams with a total load of 60%. In the flood variants, one of them sends eight times its share, for a total load of 165%.
std::vector<Variant> fairnessVariants()
{
    return {
        { .name = "no-flood", .teams = 4 },
        { .name = "flood-one-queue", .teams = 4, .floodFactor = 8, .hasTeamQueues = false },
        { .name = "flood-team-queues", .teams = 4, .floodFactor = 8 },
    };
}

// Sites from the current to the planned size. The largest has more VMs per rack, so that the number of shards stays below 256.
std::vector<Case> makeSizeCases()
{
    struct Size {
        int executors;
        int daemons;
        int vmsPerRack;
    };
    std::vector<Case> cases;
    for (const auto& size : { Size { 50, 7, 8 }, { 425, 7, 8 }, { 1700, 16, 8 }, { 6800, 32, 30 } }) {
        const Site site { .name = std::to_string(size.executors),
            .executors = size.executors,
            .vmsPerRack = size.vmsPerRack,
            .domains = 12,
            .daemons = size.daemons };
        // About the same number of requests at each size, after a warm-up that fills the slots.
        const double warmUpSeconds = 0.1;
        const double requestsPerSecond = 0.9 * size.executors * site.slotsPerExecutor / 0.05;
        const Load load { .share = 0.9, .seconds = warmUpSeconds + 20'000 / requestsPerSecond, .warmUpSeconds = warmUpSeconds };
        cases.push_back({ site, { .name = "shards", .isTimed = true }, load, {} });
    }
    return cases;
}

double median(const Case& it, double Result::*field)
{
    std::vector<double> values;
    std::ranges::transform(it.runs, std::back_inserter(values), [&](const Result& run) { return run.*field; });
    std::ranges::nth_element(values, values.begin() + std::ptrdiff_t(values.size() / 2));
    return values[values.size() / 2];
}

int getPeak(const Case& it) { return std::ranges::max(it.runs, {}, &Result::peak).peak; }

void runAll(std::vector<Case>& cases, unsigned threads)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (auto i = next++; i < cases.size() * std::size(seeds); i = next++) {
            auto& it = cases[i / std::size(seeds)];
            it.runs[i % std::size(seeds)] = runTrial(it.site, it.variant, it.load, seeds[i % std::size(seeds)]);
        }
    };
    std::ranges::for_each(cases, [](Case& it) { it.runs.resize(std::size(seeds)); });
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i)
        workers.emplace_back(work);
    std::ranges::for_each(workers, [](auto& it) { it.join(); });
}

void printTable(const std::vector<Case>& cases)
{
    std::printf("%-5s %-6s %4s %-34s %7s %7s %7s %7s %7s %7s %7s %6s %6s %7s %5s %5s %5s %4s\n", "site", "in", "load", "variant", "p50",
        "p99", "p99.9", "w50", "w99", "w99.9", "refuse%", "late%", "fail%", "goodput", "rel%", "ref99", "eject", "peak");
    for (const auto& it : cases) {
        const auto m = [&](double Result::*field) { return median(it, field); };
        std::printf("%-5s %-6s %4.0f %-34s %7.1f %7.1f %7.1f %7.2f %7.2f %7.2f %7.2f %6.2f %6.2f %7.3f %5.1f %5.0f %5.0f %4d\n",
            it.site.name.c_str(), it.load.isSkewed ? "3:1" : "equal", it.load.share * 100, it.variant.name.c_str(), m(&Result::totalP50),
            m(&Result::totalP99), m(&Result::totalP999), m(&Result::waitP50), m(&Result::waitP99), m(&Result::waitP999),
            100 * m(&Result::refusedShare), 100 * m(&Result::lateShare), 100 * m(&Result::failedShare), m(&Result::goodput),
            100 * m(&Result::relayedShare), m(&Result::refusalP99), m(&Result::ejections), getPeak(it));
    }
}

void printFairness(const std::vector<Case>& cases)
{
    std::printf("\nfairness, 4 teams, %zu seeds: the teams that do not flood\n", std::size(seeds));
    std::printf("%-5s %-20s %9s %9s %7s %16s\n", "site", "variant", "p99", "refuse%", "late%", "flood answered%");
    for (const auto& it : cases) {
        const auto m = [&](double Result::*field) { return median(it, field); };
        std::printf("%-5s %-20s %9.1f %9.3f %7.3f %16.1f\n", it.site.name.c_str(), it.variant.name.c_str(), m(&Result::otherTotalP99),
            100 * m(&Result::otherRefusedShare), 100 * m(&Result::otherLateShare), 100 * m(&Result::floodAnsweredShare));
    }
}

// Runs the cases sequentially, so that concurrent runs do not disturb the decision times.
void printSizes(std::vector<Case>& cases)
{
    std::printf("\nsizes at 90%% load, 1 seed: wall time of all decisions about a call\n");
    std::printf("%9s %7s %9s %14s %7s %9s\n", "executors", "daemons", "requests", "us per call", "w99", "refuse%");
    for (auto& it : cases) {
        it.runs = { runTrial(it.site, it.variant, it.load, seeds[0]) };
        const auto& run = it.runs.front();
        std::printf("%9d %7d %9.0f %14.2f %7.2f %9.2f\n", it.site.executors, it.site.daemons, run.requests, run.decisionUs, run.waitP99,
            100 * run.refusedShare);
        std::fflush(stdout);
    }
}

void writeJson(const std::vector<Case>& cases, const std::string& path)
{
    std::ofstream out(path);
    out << "[\n";
    for (const auto& it : cases) {
        const auto field = [&](const char* name, double Result::*member) { out << ", \"" << name << "\": " << median(it, member); };
        out << (&it == &cases.front() ? "" : ",\n") << R"({"site": ")" << it.site.name << R"(", "ingress": ")"
            << (it.load.isSkewed ? "3:1" : "equal") << R"(", "load": )" << it.load.share << R"(, "variant": ")" << it.variant.name
            << R"(", "mean_service_ms": )" << it.load.meanServiceMs << ", \"seeds\": " << it.runs.size();
        field("total_p50_ms", &Result::totalP50);
        field("total_p99_ms", &Result::totalP99);
        field("total_p99_9_ms", &Result::totalP999);
        field("wait_p50_ms", &Result::waitP50);
        field("wait_p99_ms", &Result::waitP99);
        field("wait_p99_9_ms", &Result::waitP999);
        field("refused_share", &Result::refusedShare);
        field("late_share", &Result::lateShare);
        field("failed_share", &Result::failedShare);
        field("goodput", &Result::goodput);
        field("relayed_share", &Result::relayedShare);
        field("retried_share", &Result::retriedShare);
        field("refusal_p99_ms", &Result::refusalP99);
        field("ejections", &Result::ejections);
        field("other_total_p99_ms", &Result::otherTotalP99);
        field("other_refused_share", &Result::otherRefusedShare);
        field("other_late_share", &Result::otherLateShare);
        field("flood_answered_share", &Result::floodAnsweredShare);
        field("decision_us", &Result::decisionUs);
        out << ", \"peak\": " << getPeak(it) << "}";
    }
    out << "\n]\n";
}

const Case* find(const std::vector<Case>& cases, const Case& reference, const std::string& variant, double share)
{
    const auto it = std::ranges::find_if(cases, [&](const Case& other) {
        return other.site.name == reference.site.name && other.load.isSkewed == reference.load.isSkewed && other.variant.name == variant
            && other.load.share == share;
    });
    return it == cases.end() ? nullptr : &*it;
}

void printTargets(const std::vector<Case>& cases)
{
    const auto print = [](bool isMet, const Case& it, const char* what, double measured, double bound) {
        std::printf("%-6s %-5s %-6s %-28s measured %8.3f bound %8.3f\n", isMet ? "met" : "MISSED", it.site.name.c_str(),
            it.load.isSkewed ? "3:1" : "equal", what, measured, bound);
    };
    for (const auto& it : cases) {
        if (it.variant.name != "shards")
            continue;
        if (it.load.share == 2.0) {
            if (const auto* full = find(cases, it, "shards", 1.0)) {
                const double bound = 0.95 * median(*full, &Result::goodput);
                const double goodput = median(it, &Result::goodput);
                print(goodput >= bound, it, "goodput at 200%", goodput, bound);
            }
        }
        if (it.load.share == 0.9) {
            if (const auto* ideal = find(cases, it, "ideal", 0.9)) {
                // Allows for one forwarding to another domain and back.
                const double bound = 1.05 * median(*ideal, &Result::totalP99) + 2 * it.site.betweenDomainsMs;
                const double total = median(it, &Result::totalP99);
                print(total <= bound, it, "total p99 at 90%, ms", total, bound);
            }
            const double bound = 0.3 * it.load.meanServiceMs;
            const double wait = median(it, &Result::waitP99);
            print(wait < bound, it, "wait p99 at 90%, ms", wait, bound);
        }
    }
    for (const auto& it : cases) {
        const int limit = it.variant.allowedSlots;
        if (getPeak(it) > limit)
            print(false, it, ("peak, " + it.variant.name).c_str(), getPeak(it), limit);
    }
}

std::string optionOf(int argc, char** argv, const std::string& name, const std::string& fallback)
{
    for (int i = 1; i < argc; ++i) {
        const std::string argument(argv[i]);
        if (argument.starts_with(name))
            return argument.substr(name.size());
    }
    return fallback;
}

} // namespace

int main(int argc, char** argv)
{
    const auto only = optionOf(argc, argv, "--only=", "");
    const auto json = optionOf(argc, argv, "--json=", "");
    const auto threads = std::atoi(optionOf(argc, argv, "--threads=", "3").c_str());
    const auto serviceMs = std::atof(optionOf(argc, argv, "--service-ms=", "50").c_str());
    auto cases = makeCases(serviceMs);
    const auto percent = std::atof(optionOf(argc, argv, "--load=", "0").c_str());
    std::erase_if(cases, [&](const Case& it) { return !only.empty() && it.variant.name != only; });
    std::erase_if(cases, [&](const Case& it) { return percent > 0 && std::abs(it.load.share * 100 - percent) > 0.5; });
    runAll(cases, unsigned(std::max(1, threads)));
    printTable(cases);
    printTargets(cases);
    const auto isWanted = [&](const std::string& section) { return only == section || (only.empty() && percent == 0); };
    std::vector<Case> fairness;
    if (isWanted("fairness")) {
        addCases(fairness, { .name = "50x8" }, fairnessVariants(), { 0.6 }, { false }, serviceMs);
        runAll(fairness, unsigned(std::max(1, threads)));
        printFairness(fairness);
        std::ranges::move(fairness, std::back_inserter(cases));
    }
    if (isWanted("sizes")) {
        auto sizes = makeSizeCases();
        printSizes(sizes);
        std::ranges::move(sizes, std::back_inserter(cases));
    }
    if (!json.empty())
        writeJson(cases, json);
    return 0;
}
