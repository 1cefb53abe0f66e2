#pragma once

#include "scheduler/Model.h"

#include <flatbuffers/flatbuffers.h>
#include <memory>
#include <string>

// Keys and values of the records in the platform's store. Values are FlatBuffers of libs/schema, except for cancellation markers.
namespace kingcuploom::node {

inline constexpr char jobPrefix[] = "kc/job/";
inline constexpr char runPrefix[] = "kc/run/";
inline constexpr char pendingKey[] = "kc/pending";
// Interference model learned by the leader, stored for the next leader.
inline constexpr char interferenceKey[] = "kc/interference";
// Written for the revision of the write alone, which becomes the fencing token of orders to a worker.
inline constexpr char fenceKey[] = "kc/fence";

// Bounds of a job, which submissions and records of jobs are held to.
inline constexpr std::size_t maxJobSteps = 64;
inline constexpr std::int64_t maxJobTasks = 4096;
inline constexpr std::uint32_t maxJobOccurrences = 1'000'000;

std::string jobKey(const scheduler::GraphJobId&);
// Marker of a cancelled job. It shares the prefix of the jobs, so that one watch covers both.
std::string cancelKey(const scheduler::GraphJobId&);
std::string runKey(const scheduler::GraphJobId&);

// Value of a cancellation marker: when its node wrote it, in milliseconds since the Unix epoch.
std::string encodeCancelMarker(std::int64_t wallMs);
// Returns nothing for a marker without a time, as earlier versions wrote it.
std::optional<std::int64_t> decodeCancelMarker(const std::string& value);

// Parsed form of a key under jobPrefix.
struct ParsedJobKey {
    scheduler::GraphJobId job;
    bool isCancel = false;
};

ParsedJobKey parseJobKey(const std::string& key);
// Parses a key under runPrefix.
scheduler::GraphJobId parseRunKey(const std::string& key);

template <typename Table, typename Native> std::string encodeRecord(const Native& native)
{
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(Table::Pack(builder, &native));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

// Returns null if the value is not a valid record of this type. Rows of a valid record can still be null.
template <typename Table> std::unique_ptr<typename Table::NativeTableType> decodeRecord(const std::string& value)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
    if (value.empty() || !verifier.VerifyBuffer<Table>())
        return nullptr;
    return std::unique_ptr<typename Table::NativeTableType>(flatbuffers::GetRoot<Table>(value.data())->UnPack());
}

// These return null also for a record whose content a reader could not use.
std::unique_ptr<schema::QueueCountsT> decodeCounts(const std::string&);
std::unique_ptr<schema::LearnedInterferenceT> decodeInterference(const std::string&);
std::string encodeJob(const schema::GraphJobSpecT&);
std::shared_ptr<schema::GraphJobSpecT> decodeJob(const std::string&);
std::string encodeProgress(const schema::GraphJobProgressT&);
std::unique_ptr<schema::GraphJobProgressT> decodeProgress(const std::string&);

} // namespace kingcuploom::node
