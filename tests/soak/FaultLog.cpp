#include "FaultLog.h"

#include <algorithm>

namespace kingcuploom::soak {

std::size_t FaultLog::begin(std::int64_t at)
{
    m_periods.push_back({ at, std::nullopt });
    return m_periods.size() - 1;
}

void FaultLog::end(std::size_t fault, std::int64_t at) { m_periods.at(fault).end = at; }

std::optional<std::int64_t> FaultLog::calmSince(std::int64_t at) const
{
    std::int64_t since = 0;
    for (const auto& it : m_periods) {
        if (it.begin > at)
            continue;
        if (!it.end || *it.end > at)
            return std::nullopt;
        since = std::max(since, *it.end);
    }
    return since;
}

} // namespace kingcuploom::soak
