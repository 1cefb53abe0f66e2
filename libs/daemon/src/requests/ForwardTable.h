#pragma once

#include "requests/Call.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace kingcuploom::requests {

// A request that was forwarded and not answered yet.
struct ForwardedCall {
    std::uint64_t sequence = 0;
    DaemonId owner;
    ShardId shard;
    CallPtr call;
};

// Forwarded requests by sequence. Thread-safe.
class ForwardTable {
public:
    // "ingress" stands for this process in the forwarded requests.
    explicit ForwardTable(std::uint64_t ingress);

    std::uint64_t ingress() const { return m_ingress; }

    // Returns the sequence.
    std::uint64_t add(const DaemonId& owner, const ShardId&, const CallPtr&);

    // Takes the request out when the answer belongs to it; empty for a late, repeated or foreign answer.
    std::optional<ForwardedCall> take(const CallKey&, const DaemonId& from);
    std::optional<ForwardedCall> take(std::uint64_t sequence);
    std::optional<ForwardedCall> take(const CallPtr&);

    // The request that a peer forwarded with this key and that was relayed from here; nullptr when there is none.
    CallPtr findRelayed(const CallKey& origin) const;

    // The oldest request to the owner, whatever the answer belongs to; used when a test switches the matching off.
    std::optional<ForwardedCall> takeOldest(const DaemonId& owner);

    // Takes out all whose deadline has passed.
    std::vector<ForwardedCall> takeExpired(MonotonicTime now);

    // Takes out all that were sent to these owners.
    std::vector<ForwardedCall> takeOf(const std::vector<DaemonId>& owners);

    std::vector<DaemonId> owners() const;
    std::size_t size() const;

private:
    template <typename Filter> std::vector<ForwardedCall> takeIf(Filter);

    const std::uint64_t m_ingress;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, ForwardedCall> m_calls;
};

} // namespace kingcuploom::requests
