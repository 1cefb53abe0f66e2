#include "ExecutorState.h"

#include <algorithm>

namespace kingcuploom::standins {

namespace {

    constexpr std::uint64_t perMille = 1000;

} // namespace

Fault ExecutorState::begin(const std::string& requestId)
{
    const std::scoped_lock lock(m_mutex);
    ++m_counters.active;
    ++m_counters.total;
    m_counters.peak = std::max(m_counters.peak, m_counters.active);
    if (!requestId.empty())
        ++m_executions[requestId];
    auto ticket = m_random.below(perMille);
    const auto isSelected = [&](std::uint32_t share) {
        const bool isHit = ticket < share;
        ticket -= isHit ? 0 : share;
        return isHit;
    };
    if (isSelected(m_behaviour.failPerMille))
        return Fault::Fail;
    if (isSelected(m_behaviour.truncatePerMille))
        return Fault::Truncate;
    return isSelected(m_behaviour.closePerMille) ? Fault::Close : Fault::None;
}

void ExecutorState::end()
{
    const std::scoped_lock lock(m_mutex);
    --m_counters.active;
}

Counters ExecutorState::counters() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counters;
}

std::map<std::string, int> ExecutorState::record() const
{
    const std::scoped_lock lock(m_mutex);
    return m_executions;
}

Behaviour ExecutorState::behaviour() const
{
    const std::scoped_lock lock(m_mutex);
    return m_behaviour;
}

void ExecutorState::setBehaviour(const Behaviour& behaviour)
{
    const std::scoped_lock lock(m_mutex);
    m_behaviour = behaviour;
}

} // namespace kingcuploom::standins
