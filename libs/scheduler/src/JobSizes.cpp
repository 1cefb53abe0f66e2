#include "scheduler/JobSizes.h"

#include <algorithm>
#include <numeric>

namespace kingcuploom::scheduler {

namespace {

    // Jobs that a sample remembers. More would follow a change of a queue's load too slowly.
    constexpr std::size_t maxSampleSize = 256;

    // Upper bounds of the classes but the last, as shares of the sample.
    constexpr std::array<std::pair<double, SizeClass>, sizeClassCount - 1> upperBounds
        = { { { 0.5, SizeClass::SmallestHalf }, { 0.7, SizeClass::UpperMiddle }, { 0.9, SizeClass::UpperFifth } } };

    // Weight of the newest job in the share of its size.
    constexpr double newestWeight = 1.0 / 16;
    // By which the earlier jobs of a queue count less with each new one.
    constexpr double countDecay = 1 - 1.0 / 64;
    // A size is underserved below this fraction of the whole. It leaves a margin to the half that operators are promised.
    constexpr double minShareOfWhole = 0.8;

} // namespace

const char* toString(SizeClass size)
{
    switch (size) {
    case SizeClass::SmallestHalf:
        return "smallest_half";
    case SizeClass::UpperMiddle:
        return "upper_middle";
    case SizeClass::UpperFifth:
        return "upper_fifth";
    case SizeClass::LargestTenth:
        break;
    }
    return "largest_tenth";
}

double computeWork(const schema::GraphJobSpecT& spec)
{
    return std::accumulate(spec.steps.begin(), spec.steps.end(), 0.0, [](double sum, const auto& step) {
        return sum + static_cast<double>(step->count) * static_cast<double>(step->cpu_millis) / 1000 * step->estimate_ms;
    });
}

SizeClass WorkSample::add(double work)
{
    if (m_recent.size() == maxSampleSize) {
        m_sorted.erase(std::ranges::lower_bound(m_sorted, m_recent.front()));
        m_recent.pop_front();
    }
    m_recent.push_back(work);
    m_sorted.insert(std::ranges::upper_bound(m_sorted, work), work);
    // The middle of the equal ones, so that jobs of the same work are of the same size.
    const auto firstEqual = std::ranges::lower_bound(m_sorted, work) - m_sorted.begin();
    const auto endEqual = std::ranges::upper_bound(m_sorted, work) - m_sorted.begin();
    const auto middle = static_cast<double>(firstEqual + endEqual) / 2;
    const auto rank = middle / static_cast<double>(m_sorted.size());
    const auto* it = std::ranges::find_if(upperBounds, [&](const auto& bound) { return rank < bound.first; });
    return it == upperBounds.end() ? SizeClass::LargestTenth : it->second;
}

void ServedShares::add(SizeClass size, bool isServed)
{
    const auto index = static_cast<std::size_t>(size);
    m_served[index] += newestWeight * ((isServed ? 1.0 : 0.0) - m_served[index]);
    for (auto& count : m_counts)
        count *= countDecay;
    ++m_counts[index];
}

bool ServedShares::isUnderserved(SizeClass size) const
{
    const auto jobs = std::accumulate(m_counts.begin(), m_counts.end(), 0.0);
    const auto served = std::inner_product(m_served.begin(), m_served.end(), m_counts.begin(), 0.0);
    return m_served[static_cast<std::size_t>(size)] * jobs < minShareOfWhole * served;
}

const char* toString(WaitCause cause)
{
    switch (cause) {
    case WaitCause::Room:
        return "room";
    case WaitCause::RoomWhenLate:
        return "room_when_late";
    case WaitCause::ClaimedRoom:
        return "claimed_room";
    case WaitCause::Permit:
        return "permit";
    case WaitCause::Retry:
        return "retry";
    case WaitCause::Trial:
        return "trial";
    case WaitCause::LeaderHold:
        break;
    }
    return "leader_hold";
}

void WaitTimes::begin(WaitCause cause, MonotonicTime now)
{
    end(now);
    m_current = cause;
    m_since = now;
}

void WaitTimes::end(MonotonicTime now)
{
    if (m_current)
        m_spent[static_cast<std::size_t>(*m_current)] += std::chrono::duration_cast<Milliseconds>(now - m_since);
    m_current.reset();
}

} // namespace kingcuploom::scheduler
