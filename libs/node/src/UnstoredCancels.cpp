#include "node/UnstoredCancels.h"

namespace kingcuploom::node {

using scheduler::GraphJobId;

void UnstoredCancels::add(const GraphJobId& job, CancelMarker marker, MonotonicTime seenAt)
{
    m_entries.insert_or_assign(job, Entry { std::move(marker), seenAt });
}

std::optional<CancelMarker> UnstoredCancels::take(const GraphJobId& job)
{
    const auto node = m_entries.extract(job);
    return node.empty() ? std::nullopt : std::optional(node.mapped().marker);
}

void UnstoredCancels::forget(const GraphJobId& job, Revision revision)
{
    const auto it = m_entries.find(job);
    if (it != m_entries.end() && it->second.marker.revision <= revision)
        m_entries.erase(it);
}

void UnstoredCancels::postpone(const GraphJobId& job, MonotonicTime seenAt)
{
    if (const auto it = m_entries.find(job); it != m_entries.end())
        it->second.seenAt = seenAt;
}

std::vector<std::pair<GraphJobId, Revision>> UnstoredCancels::findOlder(MonotonicTime time, std::size_t limit) const
{
    std::vector<std::pair<GraphJobId, Revision>> found;
    for (const auto& [job, entry] : m_entries) {
        if (found.size() == limit)
            break;
        if (entry.seenAt < time)
            found.emplace_back(job, entry.marker.revision);
    }
    return found;
}

} // namespace kingcuploom::node
