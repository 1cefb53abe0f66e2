#include "Sections.h"

#include <cstdio>
#include <fstream>
#include <string_view>

// Measures the slopes from which docs/CAPACITY.md works out the size of each role.
// Usage: daemon_benchmark [--json=FILE]

using namespace kingcuploom::capacity;

namespace {

void printTable(const Figures& figures)
{
    std::printf("%-15s %-44s %-28s %14s\n", "section", "parameters", "quantity", "value");
    for (const auto& figure : figures) {
        std::printf("%-15s %-44s %-28s %14.2f %s\n", figure.section.c_str(), figure.parameters.c_str(), figure.quantity.c_str(),
            figure.value, figure.unit.c_str());
    }
}

// All texts are names from this program and need no escapes.
std::string toJson(const Figures& figures)
{
    std::string json = "[\n";
    for (const auto& figure : figures) {
        char buf[400];
        std::snprintf(buf, sizeof(buf),
            "  {\"section\": \"%s\", \"parameters\": \"%s\", \"quantity\": \"%s\", \"value\": %.3f, \"unit\": \"%s\"}%s\n",
            figure.section.c_str(), figure.parameters.c_str(), figure.quantity.c_str(), figure.value, figure.unit.c_str(),
            &figure == &figures.back() ? "" : ",");
        json += buf;
    }
    return json + "]\n";
}

constexpr void (*sections[])(Figures&)
    = { measureShardRecords, measureGroupCommit, measureStoreAdapter, measureWatch, measureAuditBatch, measureHeartbeats, measureOwnership,
          measureAssignment, measureCoordinatorPass, measureWorkerSync, measureConfiguration, measureAdmission, measureForwarding };

} // namespace

int main(int argc, char** argv)
{
    constexpr std::string_view jsonOption = "--json=";
    Figures figures;
    for (const auto section : sections)
        section(figures);
    printTable(figures);
    for (int i = 1; i < argc; ++i) {
        if (std::string_view(argv[i]).starts_with(jsonOption))
            std::ofstream(argv[i] + jsonOption.size()) << toJson(figures);
    }
    return 0;
}
