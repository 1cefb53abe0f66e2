#include "node/Records.h"

#include "Compression.h"

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    constexpr char cancelSuffix[] = "~cancel";

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

std::string encodeJob(const schema::GraphJobSpecT& spec) { return encodeRecord<schema::GraphJobSpec>(spec); }

std::shared_ptr<schema::GraphJobSpecT> decodeJob(const std::string& value) { return decodeRecord<schema::GraphJobSpec>(value); }

// Written with each start and end, and the larger part of what a leader sends. A record has a row of the same shape for each task.
std::string encodeProgress(const schema::GraphJobProgressT& progress) { return compress(encodeRecord<schema::GraphJobProgress>(progress)); }

// Also reads records of earlier versions, which are not compressed.
std::unique_ptr<schema::GraphJobProgressT> decodeProgress(const std::string& value)
{
    const auto content = decompress(value);
    if (!content && content.error() == CompressionError::Corrupt)
        return nullptr;
    return decodeRecord<schema::GraphJobProgress>(content ? *content : value);
}

} // namespace kingcuploom::node
