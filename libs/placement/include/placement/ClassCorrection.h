#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "base/ResourceAmounts.h"

#include <span>

namespace kingcuploom::placement {

// Learned ratio of actual to declared figures, as the mean of logarithms. Few samples stay near 1.
struct RatioEstimate {
    double sumOfLogs = 0;
    double samples = 0;
    double sumOfSquaredLogs = 0;
};

// Corrections of one job class.
struct ClassCorrection {
    RatioEstimate cpu;
    RatioEstimate memory;
    RatioEstimate runTime;
};

// What ended or has been observed of one task.
struct TaskObservation {
    ResourceAmounts declared;
    ResourceAmounts observed;
    Milliseconds declaredRunTime {};
    // 0 while the task runs.
    Milliseconds actualRunTime {};
};

// Amounts to reserve for a task until its own use has been reported.
struct UnreportedReserve {
    // With an allowance for what few reports of the class leave unknown.
    ResourceAmounts cautious;
    // Without it, for the one task that brings the first reports of a class whose cautious reserve fits nowhere.
    ResourceAmounts least;
};

enum class ImpossibleReason {
    NoWorkers,
    TooMuchCpu,
    TooMuchMemory,
    TooManyAccelerators,
    // Each amount fits some VM, but no VM fits all of them.
    NoVmFitsAll,
};

const char* toString(ImpossibleReason);

struct ImpossibleJob {
    ImpossibleReason reason = ImpossibleReason::NoWorkers;
    // Largest amount of each kind in the fleet.
    ResourceAmounts largest;
};

void learn(ClassCorrection&, const TaskObservation&);

// Shrunken ratio, limited to a factor of 8 either way.
double ratioOf(const RatioEstimate&);

// Amounts to reserve: the larger of declared, observed and declared times the correction.
ResourceAmounts demandToReserve(const ResourceAmounts& declared, const ResourceAmounts& observed, const ClassCorrection&);

// Covers the spread of the class, and up to twice the declared size before the first report.
UnreportedReserve reserveUntilReported(const ResourceAmounts& declared, const ClassCorrection&);

Milliseconds expectedRunTime(Milliseconds declared, const ClassCorrection&);

// Judges the declared demand: a learned correction must not make a job impossible.
Expected<void, ImpossibleJob> checkFleet(std::span<const ResourceAmounts> capacities, const ResourceAmounts& declared);

} // namespace kingcuploom::placement
