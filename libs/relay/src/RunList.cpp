#include "relay/RunList.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace kingcuploom::relay {

namespace {

    using scheduler::ListedRun;

    std::map<scheduler::RunRef, std::uint32_t> indexByRun(const RunList& list)
    {
        std::map<scheduler::RunRef, std::uint32_t> positions;
        for (std::uint32_t i = 0; i < list.size(); ++i)
            positions[list[i].run] = i;
        return positions;
    }

    std::unique_ptr<schema::RelayRunT> makeRun(const ListedRun& run)
    {
        auto row = std::make_unique<schema::RelayRunT>();
        row->name = std::make_unique<schema::RelayRunNameT>(makeRunName(run.run));
        row->checkpoint = run.checkpoint;
        row->percent = run.percent;
        row->figure = run.figure;
        return row;
    }

    std::unique_ptr<schema::RelayCheckpointT> makeCheckpoint(std::uint32_t position, const std::string& text)
    {
        auto row = std::make_unique<schema::RelayCheckpointT>();
        row->position = position;
        row->text = text;
        return row;
    }

    bool isEndKind(std::uint8_t value) { return value <= static_cast<std::uint8_t>(scheduler::EndKind::GangIncomplete); }

    template <typename Row> bool hasName(const Row& row) { return row && row->name && !row->name->job.empty(); }

} // namespace

schema::RelayRunNameT makeRunName(const scheduler::RunRef& run)
{
    schema::RelayRunNameT name;
    name.job = run.task.job.value();
    name.occurrence = run.task.occurrence;
    name.step = run.task.step;
    name.index = run.task.index;
    name.run = run.run.value();
    return name;
}

scheduler::RunRef parseRunName(const schema::RelayRunNameT& name)
{
    return { { scheduler::GraphJobId(name.job), name.occurrence, name.step, name.index }, scheduler::RunNumber(name.run) };
}

RunList encodeRuns(const RunList& base, RunList list, schema::RelayReportT& report)
{
    auto positions = indexByRun(base);
    for (const auto& run : list) {
        const auto it = positions.find(run.run);
        const auto* before = it == positions.end() ? nullptr : &base[it->second];
        if (!before) {
            report.runs.push_back(makeRun(run));
            continue;
        }
        if (before->checkpoint != run.checkpoint)
            report.checkpoints.push_back(makeCheckpoint(it->second, run.checkpoint));
        if (before->percent != run.percent || before->figure != run.figure)
            report.readings.emplace_back(run.figure, it->second, run.percent);
        positions.erase(it);
    }
    std::ranges::transform(positions, std::back_inserter(report.removed), [](const auto& entry) { return entry.second; });
    std::ranges::sort(report.removed);
    std::ranges::sort(list, {}, &ListedRun::run);
    return list;
}

Expected<RunList, RunListError> decodeRuns(const RunList& base, const schema::RelayReportT& report)
{
    const auto malformed = makeUnexpected(RunListError::Malformed);
    auto list = base;
    for (const auto& reading : report.readings) {
        if (reading.position() >= list.size())
            return malformed;
        list[reading.position()].percent = reading.percent();
        list[reading.position()].figure = reading.figure();
    }
    for (const auto& row : report.checkpoints) {
        if (!row || row->position >= list.size())
            return malformed;
        list[row->position].checkpoint = row->text;
    }
    const std::set<std::uint32_t> removed(report.removed.begin(), report.removed.end());
    if (!removed.empty() && *removed.rbegin() >= list.size())
        return malformed;
    std::for_each(removed.rbegin(), removed.rend(), [&](std::uint32_t position) { list.erase(list.begin() + position); });
    for (const auto& row : report.runs) {
        if (!hasName(row))
            return malformed;
        list.push_back({ parseRunName(*row->name), row->checkpoint, row->percent, row->figure });
    }
    std::ranges::sort(list, {}, &ListedRun::run);
    return list;
}

void encodeEnds(const std::vector<scheduler::ListedEnd>& ends, schema::RelayReportT& report)
{
    for (const auto& end : ends) {
        auto row = std::make_unique<schema::RelayEndT>();
        row->number = end.number.value();
        row->name = std::make_unique<schema::RelayRunNameT>(makeRunName(end.run));
        row->kind = static_cast<std::uint8_t>(end.kind);
        row->checkpoint = end.checkpoint;
        report.ends.push_back(std::move(row));
    }
}

Expected<std::vector<scheduler::ListedEnd>, RunListError> decodeEnds(const schema::RelayReportT& report)
{
    std::vector<scheduler::ListedEnd> ends;
    for (const auto& row : report.ends) {
        if (!hasName(row) || !isEndKind(row->kind))
            return makeUnexpected(RunListError::Malformed);
        ends.push_back(
            { scheduler::EndNumber(row->number), parseRunName(*row->name), static_cast<scheduler::EndKind>(row->kind), row->checkpoint });
    }
    return ends;
}

} // namespace kingcuploom::relay
