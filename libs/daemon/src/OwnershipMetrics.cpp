#include "OwnershipMetrics.h"

namespace kingcuploom {

using namespace ownership;

namespace {

    // Name of a lease event in the metrics, empty for other events.
    std::string resultOf(const Event& event)
    {
        if (std::holds_alternative<LeaseRenewed>(event))
            return "renewed";
        if (std::holds_alternative<LeaseGranted>(event))
            return "granted";
        if (std::holds_alternative<LeaseMissing>(event))
            return "lease_missing";
        if (std::holds_alternative<LeaseCallFailed>(event))
            return "failed";
        if (const auto* relay = std::get_if<RelayAnswered>(&event))
            return relay->renewed ? "relayed" : "relay_failed";
        return {};
    }

} // namespace

OwnershipMetrics::OwnershipMetrics(prometheus::Registry& registry)
    : m_changes(prometheus::BuildCounter()
                    .Name("kingcuploom_owner_changes_total")
                    .Help("Owner changes that this daemon took part in, by reason.")
                    .Register(registry))
    , m_renewals(prometheus::BuildCounter()
                     .Name("kingcuploom_lease_calls_total")
                     .Help("Calls for the own member lease, by result.")
                     .Register(registry))
    , m_shards(prometheus::BuildGauge()
                   .Name("kingcuploom_owned_shards")
                   .Help("Shards owned by this daemon, by the portion of the limit it may use.")
                   .Register(registry))
    , m_links(prometheus::BuildGauge()
                  .Name("kingcuploom_link_totals")
                  .Help("Totals of the links between daemons since the start.")
                  .Register(registry))
    , m_members(
          prometheus::BuildGauge().Name("kingcuploom_members").Help("Live members as seen by this daemon.").Register(registry).Add({}))
    , m_clockGaps(prometheus::BuildCounter()
                      .Name("kingcuploom_clock_gaps_total")
                      .Help("Pauses of this process longer than the lease margin.")
                      .Register(registry)
                      .Add({}))
    , m_relaysForPeers(prometheus::BuildCounter()
                           .Name("kingcuploom_lease_relays_total")
                           .Help("Lease renewals carried out for peers.")
                           .Register(registry)
                           .Add({}))
{
}

void OwnershipMetrics::countChange(OwnerChange change) { m_changes.Add({ { "reason", toString(change) } }).Increment(); }

void OwnershipMetrics::countLeaseEvent(const Event& event)
{
    const auto result = resultOf(event);
    if (!result.empty())
        m_renewals.Add({ { "result", result } }).Increment();
}

void OwnershipMetrics::setPortions(const std::map<Portion, int>& counts)
{
    for (const auto portion : { Portion::None, Portion::Reserve, Portion::Primary, Portion::Whole }) {
        const auto it = counts.find(portion);
        m_shards.Add({ { "portion", toString(portion) } }).Set(it == counts.end() ? 0 : it->second);
    }
}

void OwnershipMetrics::setLinks(const link::LinkStatistics& statistics)
{
    const std::pair<const char*, std::uint64_t> totals[] = {
        { "frames_sent", statistics.framesSent },
        { "frames_received", statistics.framesReceived },
        { "bytes_sent", statistics.bytesSent },
        { "bytes_received", statistics.bytesReceived },
        { "connections_opened", statistics.connectionsOpened },
        { "connections_lost", statistics.connectionsLost },
        { "connections_accepted", statistics.connectionsAccepted },
        { "connects_refused", statistics.connectAttemptsRefused },
        { "broken_frames", statistics.brokenFrames },
        { "oversized_frames", statistics.oversizedFrames },
        { "unknown_messages", statistics.unknownMessages },
        { "wrong_keys", statistics.wrongKeys },
        { "handshake_timeouts", statistics.handshakeTimeouts },
        { "silent_peers", statistics.silentPeers },
        { "send_queue_full", statistics.sendQueueFull },
    };
    for (const auto& [name, value] : totals)
        m_links.Add({ { "kind", name } }).Set(static_cast<double>(value));
}

} // namespace kingcuploom
