#pragma once

#include "base/Clock.h"
#include "routing/FairQueue.h"
#include "routing/ShardChoice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuploom::trial {

// Sizes and delays of one installation. Times in milliseconds.
struct Site {
    std::string name;
    int executors = 50;
    int slotsPerExecutor = 8;
    int vmsPerRack = 8;
    int domains = 3;
    int daemons = 7;
    double betweenDomainsMs = 1.5;
    double withinDomainMs = 0.1;
    double clientMs = 1;
};

enum class Arrangement {
    // A single queue for all slots, without forwarding: the upper bound for any arrangement.
    IdealSharedQueue,
    // Each daemon has a fixed share of every executor's slots.
    SlotSplit,
    // Shard ownership with forwarding to the owner.
    ShardOwners,
};

// Parameters that vary between trials.
struct Variant {
    std::string name;
    Arrangement arrangement = Arrangement::ShardOwners;
    routing::ShardChoiceRule choice = routing::ShardChoiceRule::PowerOfTwo;
    routing::QueueOrder order = routing::QueueOrder::EarliestDeadline;
    int maxRelays = 1;
    // Load figures are sent with each answer, in addition to the heartbeats.
    bool hasLoadsInAnswers = true;
    // Each shard is owned by a daemon in its own domain.
    bool hasOwnersInDomain = false;
    std::uint32_t retryPerMille = 100;
    // Share of executors that fail every request after 3 ms.
    std::uint32_t failingPerMille = 0;
    std::uint32_t maxEjectedPerMille = 300;
    int allowedSlots = 8;
    // Deadlines of 300, 1000 and 2000 ms in equal shares instead of 2000 ms for all.
    bool hasMixedDeadlines = false;
    // Number of teams that share the load equally.
    int teams = 1;
    // The first team sends this many times its share.
    double floodFactor = 1;
    // Otherwise all teams share one queue.
    bool hasTeamQueues = true;
    // Measures the wall time of the decisions, which makes the trial slower.
    bool isTimed = false;
};

struct Load {
    // Offered load as a share of the capacity of all slots.
    double share = 0.9;
    // Daemons in the first domain each receive three times as many calls as the others.
    bool isSkewed = false;
    double meanServiceMs = 50;
    // Of the lognormal service time distribution.
    double sigma = 1.2;
    double seconds = 10;
    double warmUpSeconds = 2;
};

// Results over the requests that arrived after the warm-up. Times in milliseconds.
struct Result {
    double totalP50 = 0;
    double totalP99 = 0;
    double totalP999 = 0;
    // From the arrival at the ingress to the dispatch, including forwarding.
    double waitP50 = 0;
    double waitP99 = 0;
    double waitP999 = 0;
    double refusedShare = 0;
    double lateShare = 0;
    double failedShare = 0;
    // Requests answered within the deadline, as a share of the capacity of all slots.
    double goodput = 0;
    double relayedShare = 0;
    double retriedShare = 0;
    // Time from the arrival at the ingress to a refusal, 99th percentile.
    double refusalP99 = 0;
    // Maximum number of concurrent requests at one executor.
    int peak = 0;
    double ejections = 0;
    // Of the teams that do not flood: 99th percentile of the total time, share of refused and of late requests.
    double otherTotalP99 = 0;
    double otherRefusedShare = 0;
    double otherLateShare = 0;
    // Share of the flooding team's requests that were answered in time.
    double floodAnsweredShare = 0;
    // Mean wall time per request of all decisions (shard choice, admission, dispatch, completion), in microseconds.
    double decisionUs = 0;
    double requests = 0;
};

Result runTrial(const Site&, const Variant&, const Load&, std::uint64_t seed);

} // namespace kingcuploom::trial
