#include "DomainPhases.h"

#include "Input.h"

#include <algorithm>
#include <optional>

namespace kingcuploom::trial {

namespace {

    // Guarantee G4 of docs/design.md, section 1.2.
    constexpr int startBoundSeconds = 3;
    constexpr std::array<int, 4> phaseBounds { domainOutAt - 100, domainOutAt, domainBackAt, domainBackAt + 60 };

    std::optional<std::size_t> phaseOf(int second)
    {
        if (second < phaseBounds.front() || second >= phaseBounds.back())
            return std::nullopt;
        return std::size_t(std::ranges::upper_bound(phaseBounds, second) - phaseBounds.begin() - 1);
    }

    double secondsOf(std::size_t phase) { return phaseBounds[phase + 1] - phaseBounds[phase]; }

    double p99(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        const auto it = values.begin() + std::ptrdiff_t(0.99 * double(values.size() - 1));
        std::ranges::nth_element(values, it);
        return *it;
    }

    double sumIn(const std::map<int, int>& counts, int from, int to)
    {
        double sum = 0;
        for (auto it = counts.lower_bound(from); it != counts.lower_bound(to); ++it)
            sum += it->second;
        return sum;
    }

    double mostIn(const std::map<int, int>& counts, int from, int to)
    {
        int most = 0;
        for (auto it = counts.lower_bound(from); it != counts.lower_bound(to); ++it)
            most = std::max(most, it->second);
        return most;
    }

} // namespace

void DomainPhases::addWork(int second, double coreSeconds)
{
    if (const auto phase = phaseOf(second))
        m_phases[*phase].work += coreSeconds;
}

void DomainPhases::addLatency(int second, double latency)
{
    if (const auto phase = phaseOf(second))
        m_phases[*phase].latencies.push_back(latency);
}

void DomainPhases::addStart(int second) { ++m_starts[second]; }

void DomainPhases::addMove(int second) { ++m_moves[second]; }

void DomainPhases::fill(Result& result, double cores) const
{
    for (std::size_t i = 0; i < m_phases.size(); ++i) {
        result.phaseThroughput[i] = m_phases[i].work / (cores * secondsOf(i));
        result.phaseP99[i] = p99(m_phases[i].latencies);
    }
    const double away = m_phases[1].work + m_phases[2].work;
    result.throughputWhileAway = away / (cores * (secondsOf(1) + secondsOf(2)));
    result.startsWhileOut = sumIn(m_starts, domainOutAt + startBoundSeconds, domainBackAt);
    result.mostMovesPerSecond = mostIn(m_moves, 0, trialSeconds);
    result.mostStartsOnReturn = mostIn(m_starts, domainBackAt, domainBackAt + 60);
    result.drainSeconds = m_moves.empty() ? 0 : m_moves.rbegin()->first - domainOutAt + 1;
}

} // namespace kingcuploom::trial
