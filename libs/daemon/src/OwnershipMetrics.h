#pragma once

#include "link/LinkStatistics.h"
#include "ownership/Decide.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace kingcuploom {

// Metrics of membership, ownership and links. Thread-safe.
class OwnershipMetrics {
public:
    explicit OwnershipMetrics(prometheus::Registry&);

    void countChange(ownership::OwnerChange);
    void countLeaseEvent(const ownership::Event&);
    void countClockGap() { m_clockGaps.Increment(); }
    void countRelayForPeer() { m_relaysForPeers.Increment(); }
    void setMembers(std::size_t count) { m_members.Set(static_cast<double>(count)); }
    void setPortions(const std::map<Portion, int>& counts);
    void setLinks(const link::LinkStatistics&);

private:
    prometheus::Family<prometheus::Counter>& m_changes;
    prometheus::Family<prometheus::Counter>& m_renewals;
    prometheus::Family<prometheus::Gauge>& m_shards;
    prometheus::Family<prometheus::Gauge>& m_links;
    prometheus::Gauge& m_members;
    prometheus::Counter& m_clockGaps;
    prometheus::Counter& m_relaysForPeers;
};

} // namespace kingcuploom
