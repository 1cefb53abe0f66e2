#include "requests/ForwardTable.h"

#include <algorithm>
#include <set>

namespace kingcuploom::requests {

ForwardTable::ForwardTable(std::uint64_t ingress)
    : m_ingress(ingress)
{
}

std::uint64_t ForwardTable::add(const DaemonId& owner, const ShardId& shard, const CallPtr& call)
{
    const std::scoped_lock lock(m_mutex);
    const auto sequence = ++m_lastSequence;
    m_calls[sequence] = { sequence, owner, shard, call };
    return sequence;
}

std::optional<ForwardedCall> ForwardTable::take(const CallKey& key, const DaemonId& from)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_calls.find(key.sequence);
    if (key.ingress != m_ingress || it == m_calls.end() || it->second.owner != from)
        return std::nullopt;
    auto result = std::move(it->second);
    m_calls.erase(it);
    return result;
}

std::optional<ForwardedCall> ForwardTable::take(std::uint64_t sequence)
{
    const std::scoped_lock lock(m_mutex);
    const auto node = m_calls.extract(sequence);
    return node.empty() ? std::nullopt : std::optional(node.mapped());
}

std::optional<ForwardedCall> ForwardTable::take(const CallPtr& call)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = std::ranges::find_if(m_calls, [&](const auto& entry) { return entry.second.call == call; });
    if (it == m_calls.end())
        return std::nullopt;
    return m_calls.extract(it).mapped();
}

CallPtr ForwardTable::findRelayed(const CallKey& origin) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = std::ranges::find_if(m_calls, [&](const auto& entry) { return entry.second.call->origin == origin; });
    return it == m_calls.end() ? nullptr : it->second.call;
}

std::optional<ForwardedCall> ForwardTable::takeOldest(const DaemonId& owner)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = std::ranges::find_if(m_calls, [&](const auto& entry) { return entry.second.owner == owner; });
    if (it == m_calls.end())
        return std::nullopt;
    return m_calls.extract(it).mapped();
}

template <typename Filter> std::vector<ForwardedCall> ForwardTable::takeIf(Filter filter)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ForwardedCall> result;
    for (const auto& [sequence, call] : m_calls) {
        if (filter(call))
            result.push_back(call);
    }
    std::ranges::for_each(result, [&](const auto& it) { m_calls.erase(it.sequence); });
    return result;
}

std::vector<ForwardedCall> ForwardTable::takeExpired(MonotonicTime now)
{
    return takeIf([&](const ForwardedCall& it) { return it.call->deadline <= now; });
}

std::vector<ForwardedCall> ForwardTable::takeOf(const std::vector<DaemonId>& owners)
{
    return takeIf([&](const ForwardedCall& it) { return std::ranges::find(owners, it.owner) != owners.end(); });
}

std::vector<DaemonId> ForwardTable::owners() const
{
    const std::scoped_lock lock(m_mutex);
    std::set<DaemonId> result;
    for (const auto& [sequence, call] : m_calls)
        result.insert(call.owner);
    return { result.begin(), result.end() };
}

std::size_t ForwardTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_calls.size();
}

} // namespace kingcuploom::requests
