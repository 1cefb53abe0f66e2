#pragma once

#include "base/StrongId.h"

namespace kingcuploom {

using DaemonId = StrongId<struct DaemonTag>;
using VmId = StrongId<struct VmTag>;
using ExecutorId = StrongId<struct ExecutorTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using Rack = StrongId<struct RackTag>;
using ServiceName = StrongId<struct ServiceTag>;
using JobName = StrongId<struct JobTag>;
using TeamName = StrongId<struct TeamTag>;

// "<failure domain>.<rack>"; all targets of one rack form one shard.
using ShardId = StrongId<struct ShardTag>;

// "host:port".
using Address = StrongId<struct AddressTag>;

// Start of one daemon process; a restarted daemon has a new one.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

// Raised by one with each change of a shard's owner.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;

// Store revision of a key, 0 for "does not exist".
using Revision = StrongNumber<struct RevisionTag, std::int64_t>;

using LeaseId = StrongNumber<struct LeaseTag, std::int64_t>;

// Number of an execution of a task, from 1.
using Attempt = StrongNumber<struct AttemptTag, std::uint32_t>;

// Unique per store write, to recognise an own write after a lost answer.
using WriteId = StrongNumber<struct WriteTag, std::uint64_t>;

using CpuMillis = StrongNumber<struct CpuMillisTag, std::int64_t>;
using MemoryMb = StrongNumber<struct MemoryMbTag, std::int64_t>;
using Accelerators = StrongNumber<struct AcceleratorsTag, std::int64_t>;

// One task of a job; index from 0.
struct TaskId {
    JobName job;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId&) const = default;
};

// "<job>/<index>", the form used towards workers.
std::string toString(const TaskId&);
TaskId parseTaskId(const std::string&);

ShardId shardOf(const FailureDomain&, const Rack&);
FailureDomain failureDomainOf(const ShardId&);

} // namespace kingcuploom

template <> struct std::hash<kingcuploom::TaskId> {
    std::size_t operator()(const kingcuploom::TaskId& id) const { return std::hash<kingcuploom::JobName>()(id.job) * 31 + id.index; }
};
