#include "placement/ClassCorrection.h"

#include <algorithm>
#include <cmath>

namespace kingcuploom::placement {

namespace {

    // Samples after which the estimate counts half.
    constexpr double halfTrustSamples = 5;
    // Reserves on top of a learned ratio. An estimate of the mean is too small for half of the tasks, and a full VM has no room for it.
    constexpr double reserveMargin = 0.02;
    // Older samples fade, so that a class that changes is followed within some hundred tasks.
    constexpr double maxSamples = 200;
    constexpr double maxRatio = 8;
    // Factor over the declared size that is reserved for a class without reports. A class understated by 1.4 brought workers over their
    // size for 7 s, the time to the first report, when this was 1.
    constexpr double firstAllowance = 2;
    // Reports after which the mean and the spread of a class are known well enough to do without the allowance.
    constexpr double knownSamples = 10;
    // Deviations of the class above its mean that a reserve covers.
    constexpr double coveredDeviations = 2;

    void addSample(RatioEstimate& estimate, std::int64_t declared, std::int64_t actual)
    {
        if (declared <= 0 || actual <= 0)
            return;
        const double ratio = std::clamp(static_cast<double>(actual) / static_cast<double>(declared), 1 / maxRatio, maxRatio);
        if (estimate.samples >= maxSamples) {
            estimate.sumOfLogs *= (maxSamples - 1) / estimate.samples;
            estimate.sumOfSquaredLogs *= (maxSamples - 1) / estimate.samples;
            estimate.samples = maxSamples - 1;
        }
        const double logRatio = std::log(ratio);
        estimate.sumOfLogs += logRatio;
        estimate.sumOfSquaredLogs += logRatio * logRatio;
        ++estimate.samples;
    }

    template <typename Number> Number scaled(Number declared, const RatioEstimate& estimate)
    {
        const double ratio = ratioOf(estimate);
        if (ratio <= 1 + reserveMargin)
            return declared;
        return Number(static_cast<std::int64_t>(std::ceil(static_cast<double>(declared.value()) * ratio * (1 + reserveMargin))));
    }

    // Unlike ratioOf() without a prior at 1, which leaves the reserve of an understated class too small up to the 25th report.
    double logOfUpperRatio(const RatioEstimate& estimate)
    {
        if (estimate.samples <= 0)
            return 0;
        const double mean = estimate.sumOfLogs / estimate.samples;
        const double variance = std::max(0.0, estimate.sumOfSquaredLogs / estimate.samples - mean * mean);
        return mean + coveredDeviations * std::sqrt(variance);
    }

    double logOfAllowance(const RatioEstimate& estimate)
    {
        return std::log(firstAllowance) * std::max(0.0, 1 - estimate.samples / knownSamples);
    }

    template <typename Number> Number scaledByLog(Number declared, double logRatio)
    {
        // Rounding errors must not add a unit to the reserve of a class with correct sizes: it would not fit into the last gap of a VM.
        constexpr double tolerance = 1e-9;
        const double ratio = std::clamp(std::exp(logRatio), 1.0, maxRatio);
        return Number(static_cast<std::int64_t>(std::ceil(static_cast<double>(declared.value()) * (ratio - tolerance))));
    }

} // namespace

const char* toString(ImpossibleReason reason)
{
    switch (reason) {
    case ImpossibleReason::NoWorkers:
        return "NoWorkers";
    case ImpossibleReason::TooMuchCpu:
        return "TooMuchCpu";
    case ImpossibleReason::TooMuchMemory:
        return "TooMuchMemory";
    case ImpossibleReason::TooManyAccelerators:
        return "TooManyAccelerators";
    case ImpossibleReason::NoVmFitsAll:
        break;
    }
    return "NoVmFitsAll";
}

void learn(ClassCorrection& correction, const TaskObservation& task)
{
    addSample(correction.cpu, task.declared.cpu.value(), task.observed.cpu.value());
    addSample(correction.memory, task.declared.memory.value(), task.observed.memory.value());
    addSample(correction.runTime, task.declaredRunTime.count(), task.actualRunTime.count());
}

// The prior fades with the square of the samples: a weight that fades slower leaves every reserve of a well-known class too small.
double ratioOf(const RatioEstimate& estimate)
{
    if (estimate.samples <= 0)
        return 1;
    const double squared = estimate.samples * estimate.samples;
    const double trust = squared / (squared + halfTrustSamples * halfTrustSamples);
    return std::exp(trust * estimate.sumOfLogs / estimate.samples);
}

ResourceAmounts demandToReserve(const ResourceAmounts& declared, const ResourceAmounts& observed, const ClassCorrection& correction)
{
    const ResourceAmounts corrected { scaled(declared.cpu, correction.cpu), scaled(declared.memory, correction.memory), Accelerators() };
    return largerOf(largerOf(declared, observed), corrected);
}

UnreportedReserve reserveUntilReported(const ResourceAmounts& declared, const ClassCorrection& correction)
{
    const double cpu = logOfUpperRatio(correction.cpu);
    const double memory = logOfUpperRatio(correction.memory);
    const ResourceAmounts upper { scaledByLog(declared.cpu, cpu), scaledByLog(declared.memory, memory), Accelerators() };
    const ResourceAmounts allowed { scaledByLog(declared.cpu, cpu + logOfAllowance(correction.cpu)),
        scaledByLog(declared.memory, memory + logOfAllowance(correction.memory)), Accelerators() };
    const auto least = largerOf(demandToReserve(declared, {}, correction), upper);
    return { largerOf(least, allowed), least };
}

Milliseconds expectedRunTime(Milliseconds declared, const ClassCorrection& correction)
{
    return Milliseconds(std::llround(static_cast<double>(declared.count()) * ratioOf(correction.runTime)));
}

Expected<void, ImpossibleJob> checkFleet(std::span<const ResourceAmounts> capacities, const ResourceAmounts& declared)
{
    if (std::ranges::any_of(capacities, [&](const auto& capacity) { return fits(declared, capacity); }))
        return {};
    ImpossibleJob job { ImpossibleReason::NoVmFitsAll, {} };
    for (const auto& capacity : capacities)
        job.largest = largerOf(job.largest, capacity);
    if (capacities.empty())
        job.reason = ImpossibleReason::NoWorkers;
    else if (declared.accelerators > job.largest.accelerators)
        job.reason = ImpossibleReason::TooManyAccelerators;
    else if (declared.memory > job.largest.memory)
        job.reason = ImpossibleReason::TooMuchMemory;
    else if (declared.cpu > job.largest.cpu)
        job.reason = ImpossibleReason::TooMuchCpu;
    return makeUnexpected(job);
}

} // namespace kingcuploom::placement
