#include "StoreBackoff.h"

#include <algorithm>

namespace kingcuploom {

namespace {

    constexpr Milliseconds firstDelay { 100 };
    // Short enough that work resumes within seconds of the store's return.
    constexpr Milliseconds maxDelay { 3000 };
    constexpr unsigned maxDoublings = 5;

} // namespace

bool StoreBackoff::mayCall(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_failures == 0)
        return true;
    if (now < m_retryAt)
        return false;
    m_retryAt = now + nextDelay();
    return true;
}

bool StoreBackoff::isHeldBack(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    return m_failures > 0 && now < m_retryAt;
}

void StoreBackoff::succeeded()
{
    const std::scoped_lock lock(m_mutex);
    m_failures = 0;
}

void StoreBackoff::failed(MonotonicTime now)
{
    const std::scoped_lock lock(m_mutex);
    ++m_failures;
    m_retryAt = now + nextDelay();
}

// Between half of the delay and the whole delay, so that daemons that failed together return apart.
Milliseconds StoreBackoff::nextDelay()
{
    const auto delay = std::min(firstDelay * (1U << std::min(m_failures, maxDoublings)), maxDelay);
    return delay / 2 + Milliseconds(static_cast<int>(m_random.unit() * static_cast<double>(delay.count()) / 2));
}

bool isOutage(store::StoreErrorCode code)
{
    return code == store::StoreErrorCode::Unavailable || code == store::StoreErrorCode::OutcomeUnknown
        || code == store::StoreErrorCode::Protocol;
}

} // namespace kingcuploom
