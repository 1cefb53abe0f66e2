#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcuploom::routing {

// Identifies a call at its owner; unique within one daemon process.
using CallId = StrongNumber<struct CallTag, std::uint64_t>;

struct QueuedCall {
    CallId id;
    TeamName team;
    MonotonicTime arrivedAt;
    MonotonicTime deadline;
    bool isIdempotent = false;
    // Executor that failed the previous attempt; used again only if no other has a free slot.
    ExecutorId avoidedExecutor;
    // Executions that failed or were cut off. The call itself can be the cause.
    int failedExecutions = 0;
};

enum class QueueOrder {
    EarliestDeadline,
    // Used only by the benchmark, as a baseline.
    Fifo,
};

struct TeamQueue {
    double weight = 100;
    // Pass value of stride scheduling: service time received so far divided by the weight, in milliseconds.
    double pass = 0;
    // In reverse order of service: the next call is at the back.
    std::vector<QueuedCall> calls;
};

// Calls that wait for a slot. Weighted fair queueing of service time among teams, earliest deadline first within a team.
struct FairQueue {
    QueueOrder order = QueueOrder::EarliestDeadline;
    std::map<TeamName, TeamQueue> teams;
    std::size_t size = 0;
    // Highest pass value served so far. A team that becomes active starts at least here, so it earns no credit while idle.
    double virtualTime = 0;
};

void push(FairQueue&, const QueuedCall&, double weight);

// Removes the next call of the team with the lowest pass value.
std::optional<QueuedCall> pop(FairQueue&);

std::optional<QueuedCall> remove(FairQueue&, CallId);

// Charges service time to the team, divided by its weight.
void charge(FairQueue&, const TeamName&, double ms);

// Number of the team's calls that are served before a new one with this deadline.
std::size_t callsAhead(const FairQueue&, const TeamName&, MonotonicTime deadline);

// Total weight of this team and the other teams with queued calls, divided by this team's weight: the factor by which the other teams slow
// it down.
double inverseShare(const FairQueue&, const TeamName&, double weight);

// The team with the longest queue in proportion to its weight; empty if no call is queued.
std::optional<TeamName> findTeamWithLongestQueue(const FairQueue&);

// Queued calls of the team divided by its weight.
double weightedQueueLength(const FairQueue&, const TeamName&);

} // namespace kingcuploom::routing
