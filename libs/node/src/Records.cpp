#include "node/Records.h"

#include "Compression.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    constexpr char cancelSuffix[] = "~cancel";
    constexpr char cancelWord[] = "cancel ";
    // Before a record with ranges of done occurrences, so that earlier versions find it not readable and leave the job alone: they would
    // start the tasks of these occurrences again.
    constexpr std::string_view rangesWord = "ranges ";

    template <typename Row> bool isPresent(const std::unique_ptr<Row>& row) { return row != nullptr; }

    bool isUsable(const schema::GraphJobSpecT& spec)
    {
        const auto& steps = spec.steps;
        if (!spec.policy || steps.size() > maxJobSteps || !std::ranges::all_of(steps, isPresent<schema::StepSpecT>))
            return false;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            if (!std::ranges::all_of(steps[i]->after, [&](auto earlier) { return earlier < i; }))
                return false;
        }
        const auto addCount = [](std::int64_t sum, const auto& step) { return sum + step->count; };
        const auto tasks = std::accumulate(steps.begin(), steps.end(), std::int64_t { 0 }, addCount);
        return tasks <= maxJobTasks && spec.repeat_count <= maxJobOccurrences;
    }

    bool isUsable(const schema::TaskProgressT& task)
    {
        return task.occurrence < maxJobOccurrences && std::ranges::all_of(task.runs, isPresent<schema::RunRecordT>);
    }

    bool areUsable(const std::vector<schema::OccurrenceRange>& ranges)
    {
        const auto isMisplaced = [](const auto& it, const auto& next) { return next.begin() < it.end(); };
        return std::ranges::all_of(ranges, [](const auto& it) { return it.begin() < it.end() && it.end() <= maxJobOccurrences; })
            && std::ranges::adjacent_find(ranges, isMisplaced) == ranges.end();
    }

    bool isUsable(const schema::GraphJobProgressT& progress)
    {
        return progress.state <= schema::JobState::MAX && areUsable(progress.done_occurrences)
            && std::ranges::all_of(progress.tasks, [](const auto& task) { return task && isUsable(*task); });
    }

    bool isUsable(const schema::QueueCountsT& counts) { return std::ranges::all_of(counts.counts, isPresent<schema::QueueCountT>); }

    bool isUsable(const schema::LearnedInterferenceT& learned)
    {
        return std::ranges::all_of(learned.models,
            [](const auto& model) { return model && std::ranges::all_of(model->effects, isPresent<schema::LearnedEffectT>); });
    }

    template <typename Table> std::unique_ptr<typename Table::NativeTableType> decodeUsable(const std::string& value)
    {
        auto record = decodeRecord<Table>(value);
        return record && isUsable(*record) ? std::move(record) : nullptr;
    }

} // namespace

std::string jobKey(const GraphJobId& id) { return jobPrefix + id.value(); }

std::string cancelKey(const GraphJobId& id) { return jobPrefix + id.value() + cancelSuffix; }

std::string runKey(const GraphJobId& id) { return runPrefix + id.value(); }

ParsedJobKey parseJobKey(const std::string& key)
{
    const auto name = key.substr(std::string(jobPrefix).size());
    if (!name.ends_with(cancelSuffix))
        return { GraphJobId(name), false };
    return { GraphJobId(name.substr(0, name.size() - std::string(cancelSuffix).size())), true };
}

GraphJobId parseRunKey(const std::string& key) { return GraphJobId(key.substr(std::string_view(runPrefix).size())); }

std::string encodeCancelMarker(std::int64_t wallMs) { return cancelWord + std::to_string(wallMs); }

std::optional<std::int64_t> decodeCancelMarker(const std::string& value)
{
    if (!value.starts_with(cancelWord))
        return std::nullopt;
    const char* begin = value.data() + std::string_view(cancelWord).size();
    const char* end = value.data() + value.size();
    std::int64_t wallMs = 0;
    const auto [parsed, ec] = std::from_chars(begin, end, wallMs);
    return ec == std::errc() && parsed == end ? std::optional(wallMs) : std::nullopt;
}

std::unique_ptr<schema::QueueCountsT> decodeCounts(const std::string& value) { return decodeUsable<schema::QueueCounts>(value); }

std::unique_ptr<schema::LearnedInterferenceT> decodeInterference(const std::string& value)
{
    return decodeUsable<schema::LearnedInterference>(value);
}

std::string encodeJob(const schema::GraphJobSpecT& spec) { return encodeRecord<schema::GraphJobSpec>(spec); }

std::shared_ptr<schema::GraphJobSpecT> decodeJob(const std::string& value) { return decodeUsable<schema::GraphJobSpec>(value); }

// Written with each start and end, and the larger part of what a leader sends. A record has a row of the same shape for each task.
std::string encodeProgress(const schema::GraphJobProgressT& progress)
{
    const auto record = compress(encodeRecord<schema::GraphJobProgress>(progress));
    return progress.done_occurrences.empty() ? record : std::string(rangesWord) + record;
}

// Also reads records of earlier versions, which are not compressed.
std::unique_ptr<schema::GraphJobProgressT> decodeProgress(const std::string& value)
{
    const auto record = value.starts_with(rangesWord) ? value.substr(rangesWord.size()) : value;
    const auto content = decompress(record);
    if (!content && content.error() == CompressionError::Corrupt)
        return nullptr;
    return decodeUsable<schema::GraphJobProgress>(content ? *content : record);
}

} // namespace kingcuploom::node
