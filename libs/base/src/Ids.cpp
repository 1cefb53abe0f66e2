#include "base/Ids.h"

#include <charconv>

namespace kingcuploom {

std::string toString(const TaskId& id) { return id.job.value() + "/" + std::to_string(id.index); }

TaskId parseTaskId(const std::string& text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string::npos)
        return { JobName(text), 0 };
    TaskId id { JobName(text.substr(0, slash)), 0 };
    std::from_chars(text.data() + slash + 1, text.data() + text.size(), id.index);
    return id;
}

ShardId shardOf(const FailureDomain& domain, const Rack& rack) { return ShardId(domain.value() + "." + rack.value()); }

FailureDomain failureDomainOf(const ShardId& shard) { return FailureDomain(shard.value().substr(0, shard.value().find('.'))); }

} // namespace kingcuploom
