#include "node/Records.h"

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

std::string encodeProgress(const schema::GraphJobProgressT& progress) { return encodeRecord<schema::GraphJobProgress>(progress); }

std::unique_ptr<schema::GraphJobProgressT> decodeProgress(const std::string& value)
{
    return decodeRecord<schema::GraphJobProgress>(value);
}

} // namespace kingcuploom::node
