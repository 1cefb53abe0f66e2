#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcuploom::routing {

// Number of a call at its owner; unique within one daemon process.
using CallId = StrongNumber<struct CallTag, std::uint64_t>;

struct QueuedCall {
    CallId id;
    TeamName team;
    MonotonicTime arrivedAt;
    MonotonicTime deadline;
    bool isIdempotent = false;
    // Executor that failed this call before.
    ExecutorId avoidedExecutor;
};

enum class QueueOrder {
    EarliestDeadline,
    // For comparison in the benchmark only.
    Fifo,
};

struct TeamQueue {
    double weight = 100;
    // Service received so far divided by the weight, in milliseconds.
    double pass = 0;
    // Next call last.
    std::vector<QueuedCall> calls;
};

// Calls that wait for a slot: ordered by deadline within a team, weighted fair share of service time among teams.
struct FairQueue {
    QueueOrder order = QueueOrder::EarliestDeadline;
    std::map<TeamName, TeamQueue> teams;
    std::size_t size = 0;
    // Pass of the team served last; a team that becomes active starts here and so gains nothing from its idle time.
    double virtualTime = 0;
};

void push(FairQueue&, const QueuedCall&, double weight);

// The next call by share and order.
std::optional<QueuedCall> pop(FairQueue&);

std::optional<QueuedCall> remove(FairQueue&, CallId);

// Charges service time to the team.
void charge(FairQueue&, const TeamName&, double ms);

// Calls of the team that are served before one with this deadline, and the factor by which other teams' shares slow them down.
std::size_t callsAhead(const FairQueue&, const TeamName&, MonotonicTime deadline);
double shareFactor(const FairQueue&, const TeamName&, double weight);

// The team that holds the most of the queue in proportion to its weight, and that proportion.
std::optional<TeamName> findTeamWithLongestQueue(const FairQueue&);
double weightedQueueLength(const FairQueue&, const TeamName&);

} // namespace kingcuploom::routing
