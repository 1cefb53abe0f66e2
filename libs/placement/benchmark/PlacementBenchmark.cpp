#include "Slopes.h"
#include "Trial.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <vector>

// Trials of the policy for colocated work. Usage: placement_benchmark [--json=FILE] [--only=VARIANT] [--threads=N] [--first-seed=N]

using namespace kingcuploom;
using namespace kingcuploom::trial;

namespace {

// The constants of the policy were chosen on seeds 21 to 25; --first-seed checks them on others.
constexpr std::uint64_t defaultFirstSeed = 21;
constexpr std::size_t seedCount = 5;
constexpr double startsAtPeak = 3900;

struct Case {
    Site site;
    Variant variant;
    std::vector<Result> runs;
};

struct Column {
    const char* title;
    const char* field;
    double Result::*member;
};

constexpr Column columns[] = {
    { "svc-p50", "service_p50", &Result::serviceP50 },
    { "svc-p99", "service_p99", &Result::serviceP99 },
    { "through", "throughput", &Result::throughput },
    { "evict", "evictions", &Result::evictions },
    { "preempt", "preemptions", &Result::preemptions },
    { "throttle", "throttles", &Result::throttles },
    { "lost", "lost_core_seconds", &Result::lostWork },
    { "away", "throughput_while_away", &Result::throughputWhileAway },
    { "late", "late_urgent_starts", &Result::lateUrgentStarts },
    { "over-s", "overcommitted_vm_seconds", &Result::overcommittedSeconds },
    { "over-ev", "overcommit_evictions", &Result::overcommitEvictions },
    { "peak", "peak_assigned", &Result::peakAssigned },
    { "checkp", "checkpoints", &Result::checkpoints },
    { "cp-cost", "checkpoint_core_seconds", &Result::checkpointWork },
};

struct DomainColumn {
    const char* title;
    const char* field;
    double (*value)(const Result&);
};

constexpr DomainColumn domainColumns[] = {
    { "thr-bef", "throughput_before_domain_out", [](const Result& it) { return it.phaseThroughput[0]; } },
    { "thr-out", "throughput_domain_out", [](const Result& it) { return it.phaseThroughput[1]; } },
    { "thr-back", "throughput_domain_back", [](const Result& it) { return it.phaseThroughput[2]; } },
    { "p99-bef", "p99_before_domain_out", [](const Result& it) { return it.phaseP99[0]; } },
    { "p99-out", "p99_domain_out", [](const Result& it) { return it.phaseP99[1]; } },
    { "p99-back", "p99_domain_back", [](const Result& it) { return it.phaseP99[2]; } },
    { "starts", "starts_while_out", [](const Result& it) { return it.startsWhileOut; } },
    { "moves/s", "most_moves_per_second", [](const Result& it) { return it.mostMovesPerSecond; } },
    { "drain-s", "drain_seconds", [](const Result& it) { return it.drainSeconds; } },
    { "return/s", "most_starts_on_return", [](const Result& it) { return it.mostStartsOnReturn; } },
};

schema::PolicySpecT makePolicy(std::uint32_t tail, std::uint32_t throughput, std::uint32_t eviction)
{
    schema::PolicySpecT policy;
    policy.tail_latency_weight = tail;
    policy.throughput_weight = throughput;
    policy.eviction_weight = eviction;
    return policy;
}

std::vector<Variant> makeVariants()
{
    const auto tail = makePolicy(1000, 200, 200);
    const auto throughput = makePolicy(200, 1000, 1000);
    return {
        { "tail", Decisions::Learned, tail },
        { "tail-oracle", Decisions::Oracle, tail },
        { "tail-no-throttle", Decisions::Learned, tail, false },
        { "throughput", Decisions::Learned, throughput },
        { "throughput-oracle", Decisions::Oracle, throughput },
        { "throughput-no-throttle", Decisions::Learned, throughput, false },
        { "first-fit", Decisions::FirstFit, tail },
        { "throughput-paced", Decisions::Learned, throughput, true, Checkpoints::Fixed, 0, 0, true },
        { "tail-paced", Decisions::Learned, tail, true, Checkpoints::Fixed, 0, 0, true },
        // Workers are lost about 70 times as often as planned, so that a run of 20 minutes sees some losses.
        { "lossy-decided", Decisions::Learned, throughput, true, Checkpoints::Decided, 1, 1 },
        { "lossy-fixed", Decisions::Learned, throughput, true, Checkpoints::Fixed, 1, 1 },
        { "lossy-none", Decisions::Learned, throughput, true, Checkpoints::None, 1, 1 },
    };
}

std::vector<Case> makeCases(const std::string& only)
{
    std::vector<Case> cases;
    for (const auto& site : { Site { "50", 50, 8 }, Site { "65", 65, 11 } }) {
        for (const auto& variant : makeVariants()) {
            if (only.empty() || variant.name == only)
                cases.push_back({ site, variant, std::vector<Result>(seedCount) });
        }
    }
    return cases;
}

double medianOf(const Case& it, const auto& valueOf)
{
    std::vector<double> values;
    std::ranges::transform(it.runs, std::back_inserter(values), valueOf);
    std::ranges::nth_element(values, values.begin() + std::ptrdiff_t(values.size() / 2));
    return values[values.size() / 2];
}

double median(const Case& it, double Result::*field)
{
    return medianOf(it, [&](const Result& run) { return run.*field; });
}

// Median of the ratios of paired runs on the same seed.
double medianRatio(const Case& it, const Case& other, double Result::*field)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < it.runs.size(); ++i)
        values.push_back(it.runs[i].*field / std::max(1e-9, other.runs[i].*field));
    std::ranges::sort(values);
    return values[values.size() / 2];
}

void runAll(std::vector<Case>& cases, std::uint64_t firstSeed, unsigned threads)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (auto i = next++; i < cases.size() * seedCount; i = next++) {
            auto& it = cases[i / seedCount];
            it.runs[i % seedCount] = runTrial(it.site, it.variant, firstSeed + i % seedCount);
        }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i)
        workers.emplace_back(work);
    std::ranges::for_each(workers, [](auto& it) { it.join(); });
}

void printTable(const std::vector<Case>& cases)
{
    std::printf("%-4s %-23s", "site", "variant");
    for (const auto& column : columns)
        std::printf(" %8s", column.title);
    std::printf("\n");
    for (const auto& it : cases) {
        std::printf("%-4s %-23s", it.site.name.c_str(), it.variant.name.c_str());
        for (const auto& column : columns)
            std::printf(" %8.3f", median(it, column.member));
        std::printf("\n");
    }
}

// The absence of the failure domain.
void printDomainTable(const std::vector<Case>& cases)
{
    std::printf("%-4s %-23s", "site", "variant");
    for (const auto& column : domainColumns)
        std::printf(" %8s", column.title);
    std::printf("\n");
    for (const auto& it : cases) {
        std::printf("%-4s %-23s", it.site.name.c_str(), it.variant.name.c_str());
        for (const auto& column : domainColumns)
            std::printf(" %8.3f", medianOf(it, column.value));
        std::printf("\n");
    }
}

void printTarget(bool isMet, const Case& it, const char* what, double measured, double bound)
{
    std::printf("%-6s %-4s %-12s %-40s measured %8.3f bound %8.3f\n", isMet ? "met" : "MISSED", it.site.name.c_str(),
        it.variant.name.c_str(), what, measured, bound);
}

void printTargets(const std::vector<Case>& cases)
{
    for (const auto& it : cases) {
        const double peak = std::ranges::max(it.runs, {}, &Result::peakAssigned).peakAssigned;
        if (peak > 1)
            printTarget(false, it, "assigned share of a VM", peak, 1);
        const double starts = std::ranges::max(it.runs, {}, &Result::startsWhileOut).startsWhileOut;
        if (starts > 0)
            printTarget(false, it, "starts in a domain out of service", starts, 0);
        const auto find = [&](const std::string& suffix) {
            return std::ranges::find_if(cases,
                [&](const Case& other) { return other.site.name == it.site.name && other.variant.name == it.variant.name + suffix; });
        };
        const auto oracle = find("-oracle");
        const auto plain = find("-no-throttle");
        if (oracle == cases.end() || plain == cases.end())
            continue;
        const double p99 = medianRatio(it, *oracle, &Result::serviceP99);
        printTarget(p99 <= 1.2, it, "service p99 / oracle", p99, 1.2);
        const double throughput = medianRatio(it, *oracle, &Result::throughput);
        printTarget(throughput >= 0.9, it, "throughput / oracle", throughput, 0.9);
        const auto allEvictions = [](const Case& it) { return median(it, &Result::evictions) + median(it, &Result::overcommitEvictions); };
        const double evictions = allEvictions(it);
        const double bound = allEvictions(*plain) / 2;
        printTarget(evictions < bound, it, "evictions, half without throttling", evictions, bound);
        printTarget(peak <= 1, it, "assigned share of a VM", peak, 1);
        const double over = median(it, &Result::overcommittedSeconds);
        printTarget(over <= 0, it, "VM-seconds with more use than a VM has", over, 0);
        const double worst = std::ranges::max(it.runs, {}, &Result::overcommittedSeconds).overcommittedSeconds;
        printTarget(worst <= 0, it, "the same in the worst run", worst, 0);
    }
}

void printSlopes(const std::vector<Slope>& slopes)
{
    std::printf("%8s %8s %8s %12s %12s %10s %10s %10s %9s %10s\n", "workers", "tasks", "scored", "us/decision", "decisions/s", "us/start",
        "starts/s", "us/refusal", "refused", "MB");
    for (const auto& it : slopes) {
        std::printf("%8zu %8zu %8zu %12.1f %12.0f %10.1f %10.0f %10.1f %9.3f %10.2f %s\n", it.workers, it.runningTasks, it.maxScored,
            it.microsecondsPerDecision, it.decisionsPerSecond, it.microsecondsPerStart, it.startsPerSecond, it.microsecondsPerRefusal,
            it.refusedShare, it.bytes / 1e6, it.startsPerSecond >= startsAtPeak ? "met" : "below 3900/s");
    }
}

void writeJson(const std::vector<Case>& cases, const std::vector<Slope>& slopes, const std::string& path)
{
    std::ofstream out(path);
    out << "{\"trials\": [\n";
    for (const auto& it : cases) {
        out << (&it == &cases.front() ? "" : ",\n") << R"({"site": ")" << it.site.name << R"(", "variant": ")" << it.variant.name
            << R"(", "seeds": )" << seedCount;
        for (const auto& column : columns)
            out << ", \"" << column.field << "\": " << median(it, column.member);
        for (const auto& column : domainColumns)
            out << ", \"" << column.field << "\": " << medianOf(it, column.value);
        out << "}";
    }
    out << "\n], \"slopes\": [\n";
    for (const auto& it : slopes) {
        out << (&it == &slopes.front() ? "" : ",\n") << "{\"workers\": " << it.workers << ", \"tasks\": " << it.runningTasks
            << ", \"max_scored\": " << it.maxScored << ", \"us_per_decision\": " << it.microsecondsPerDecision
            << ", \"us_per_start\": " << it.microsecondsPerStart << ", \"us_per_refusal\": " << it.microsecondsPerRefusal
            << ", \"refused_share\": " << it.refusedShare << ", \"bytes\": " << it.bytes << "}";
    }
    out << "\n]}\n";
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
    const auto json = optionOf(argc, argv, "--json=", "");
    const auto threads = std::atoi(optionOf(argc, argv, "--threads=", "3").c_str());
    const auto firstSeed = std::strtoull(optionOf(argc, argv, "--first-seed=", std::to_string(defaultFirstSeed)).c_str(), nullptr, 10);
    auto cases = makeCases(optionOf(argc, argv, "--only=", ""));
    // Alone on the machine's cores, before the trials.
    const auto slopes = measureSlopes();
    std::printf("seeds %llu to %llu\n", firstSeed, firstSeed + seedCount - 1);
    runAll(cases, firstSeed, unsigned(std::max(1, threads)));
    printTable(cases);
    printDomainTable(cases);
    printTargets(cases);
    printSlopes(slopes);
    if (!json.empty())
        writeJson(cases, slopes, json);
    return 0;
}
