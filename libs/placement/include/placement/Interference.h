#pragma once

#include "base/Clock.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace kingcuploom::placement {

// Batch tasks of a class on a worker, each counted with its share of a core, 1 when not throttled.
using ClassLoads = std::map<std::string, double>;

// Estimate of how much one task of a class slows a service down, as the logarithm of the factor.
struct PairEstimate {
    double mean = 0;
    double variance = 0;
    MonotonicTime updatedAt {};
};

struct InterferenceModel {
    // By service, then by class.
    std::map<std::string, std::map<std::string, PairEstimate>> pairs;
};

// What ran on one worker and when, for as long as reports may lag.
struct PresenceLog {
    struct Entry {
        MonotonicTime since;
        ClassLoads loads;
    };
    std::deque<Entry> entries;
};

struct SlowdownReport {
    std::string service;
    // Measured factor. Noise takes it below 1 at times; cutting that off would bias the estimate.
    double slowdown = 1;
    Milliseconds age {};
};

void notePresence(PresenceLog&, MonotonicTime now, ClassLoads);

// What ran at that time; nullptr when the log does not reach back so far.
const ClassLoads* presentAt(const PresenceLog&, MonotonicTime);

// Learns from one report received now. A report that cannot be attributed to what ran is dropped; returns false then.
bool learn(InterferenceModel&, const PresenceLog&, const SlowdownReport&, MonotonicTime now);

// Logarithm of a measured factor, limited to factors from 1/8 to 64.
double logOf(double slowdown);

// Logarithm of the slowdown by one task of the class; the prior for an unknown pair.
double logSlowdownOf(const InterferenceModel&, const std::string& service, const std::string& className);
double logSlowdownOf(const InterferenceModel&, const std::string& service, const ClassLoads&);

} // namespace kingcuploom::placement
