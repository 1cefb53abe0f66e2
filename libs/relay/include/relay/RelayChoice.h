#pragma once

#include "base/Ids.h"
#include "scheduler/Model.h"

#include <string>
#include <vector>

namespace kingcuploom::relay {

// A node that carries out orders of the leader at workers near it.
struct Member {
    DaemonId node;
    Incarnation incarnation;
    Address address;
    FailureDomain domain;
    // Share of a core.
    double processorShare = 0;
    double linkMbps = 0;
    // Uses the fencing tokens of single workers.
    bool takesWorkerFences = false;
    // Uses the fencing tokens of starts.
    bool takesStartFences = false;

    bool operator==(const Member&) const = default;
};

// Number of workers that the node's processor and link carry.
double relayCapacity(const Member&);

// Returns the members that serve the workers of a failure domain: the largest ones there, at least two for a domain that has as many.
std::vector<Member> selectRelays(const std::vector<Member>&, const FailureDomain&, std::size_t workerCount);

// Returns the members in the order in which they serve the worker. Each is first for a part of the workers in proportion to its capacity,
// and a member that leaves changes the first only of its own workers.
std::vector<DaemonId> rankRelays(const scheduler::WorkerId&, const std::vector<Member>&);

// Returns true if a leader with this link sends its orders to a fleet of this size through relays.
bool needsRelays(std::size_t workerCount, double leaderLinkMbps);

} // namespace kingcuploom::relay
