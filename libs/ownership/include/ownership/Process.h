#pragma once

#include "base/Ids.h"

namespace kingcuploom::ownership {

// One start of a daemon.
struct ProcessId {
    DaemonId daemon;
    Incarnation incarnation;

    bool empty() const { return daemon.empty(); }
    auto operator<=>(const ProcessId&) const = default;
};

struct Process {
    ProcessId id;
    Address linkAddress;

    bool empty() const { return id.empty(); }
    auto operator<=>(const Process&) const = default;
};

struct Member {
    Process process;
    FailureDomain domain;
    bool leaving = false;

    auto operator<=>(const Member&) const = default;
};

// The ownership part of a shard record.
struct ShardOwner {
    // Empty after a release without successor.
    Process owner;
    Epoch epoch;
    // Process whose use of older epochs is not known to have ended; empty when there is none.
    Process predecessor;
    // Version of the record: unique per write, and the store revision of that write.
    WriteId writeId;
    Revision revision;
};

} // namespace kingcuploom::ownership
