#pragma once

#include "node/PrefixWatcher.h"

#include <random>

namespace kingcuploom::node {

struct LeadershipSettings {
    std::string node;
    std::uint64_t incarnation = 0;
    // Share of a core available to this node. Nodes with a larger share campaign earlier, and a leader hands over to a node with a much
    // larger share.
    double processorShare = 1.0;
    std::uint64_t seed = 0;
};

// Why a leader gives up its term.
enum class AbandonReason {
    // An exception in a handler of the event loop.
    HandlerFailed,
    // The store serves the renewals of the lease, but neither commits nor reads of the term.
    Unconfirmed,
    // The store serves the calls for the leadership, but not the watch of the jobs.
    JobsNotFollowed,
    // The same for the records that the term begins with.
    RecordsNotRead,
};

const char* toString(AbandonReason);

struct LeadershipCallbacks {
    // This node was elected. The term is the revision of the term key.
    std::function<void(Revision term)> onLeading;
    // This node has resigned, or the term has changed and another node may lead.
    std::function<void()> onLeadershipLost;
};

// Leader election among the nodes. The lease on the holder key only detects that a leader has failed. The term key, which each new
// leader rewrites, is the fencing token: commits of an earlier term fail on its revision. Runs on the event loop's thread.
class Leadership {
public:
    static constexpr char holderKey[] = "kc/lead/node";
    static constexpr char termKey[] = "kc/lead/term";
    // Request of a node with a much larger share of a core to the leader to release the leadership. Valid in the term in which it was
    // written.
    static constexpr char handoverKey[] = "kc/lead/handover";

    Leadership(boost::asio::io_context&, AsyncStore&, const Clock&, LeadershipSettings, LeadershipCallbacks);

    void start();
    // Revokes the lease, so that another node can take over before it expires. Calls back when the store has responded or failed. This node
    // does not campaign again.
    void resign(std::function<void()> onDone);

    bool isLeading() const { return m_leadingTerm.has_value(); }
    // Send time of the latest call to the store that confirmed the leadership of this node.
    MonotonicTime confirmedAt() const { return m_confirmedAt; }
    // Time without a leader, as far as this node has known, before it took its last term.
    Milliseconds vacancy() const { return m_vacancy; }
    // The store has answered a call for the leadership of this node a short time ago.
    bool isServed() const;
    // Reports that a commit conditioned on the term, sent at this time, took effect.
    void confirm(MonotonicTime sentAt);
    // Ends the leadership after a commit has failed because the term has changed.
    void stepDown();
    // Gives up the own term, for any node to begin a new one.
    void abandonTerm(AbandonReason);

private:
    void onKeyChange(const std::string& key, const std::optional<std::string>& value, Revision);
    void onHolderChange(const std::optional<std::string>& value, Revision);
    void onHandoverChange(const std::optional<std::string>& value, Revision);
    void tick();
    void campaignIfVacant();
    void campaign();
    void retryLater();
    void claim(LeaseId);
    void onClaimed(LeaseId, MonotonicTime sentAt, const Expected<Revision, TransactionFailure>&);
    void becomeLeader(Revision term, LeaseId, MonotonicTime sentAt);
    void renew();
    void restoreHolderKey();
    void checkTerm();
    void requestHandover();
    void release(std::function<void()> onDone);
    bool isHolderOurs() const;
    bool isHandoverRequested() const;
    bool shouldRequestHandover() const;
    std::string encodeOwnRecord() const;
    Milliseconds computeCampaignDelay();

    AsyncStore& m_store;
    const Clock& m_clock;
    LeadershipSettings m_settings;
    LeadershipCallbacks m_callbacks;
    std::shared_ptr<PrefixWatcher> m_watcher;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;

    // Last known state of the keys in the store.
    std::optional<Revision> m_holderRevision;
    std::string m_holderNode;
    std::uint64_t m_holderIncarnation = 0;
    double m_holderShare = 0;
    std::optional<Revision> m_handoverRevision;
    std::string m_handoverNode;
    double m_handoverShare = 0;
    Revision m_term;
    bool m_isWatchCurrent = false;

    std::optional<Revision> m_leadingTerm;
    // Term whose lease this process has released.
    std::optional<Revision> m_releasedTerm;
    LeaseId m_lease;
    LeaseId m_claimLease;
    MonotonicTime m_confirmedAt;
    MonotonicTime m_renewedAt;
    // Time of the last renewal that the store has confirmed.
    MonotonicTime m_renewalConfirmedAt;
    MonotonicTime m_checkSentAt;
    std::optional<MonotonicTime> m_campaignAt;
    // Since when this node has known of no leader.
    std::optional<MonotonicTime> m_vacantSince;
    Milliseconds m_vacancy { 0 };
    MonotonicTime m_handoverRequestAt;
    bool m_isCampaigning = false;
    bool m_isRenewing = false;
    bool m_isChecking = false;
    bool m_isRequestingHandover = false;
    bool m_isResigned = false;
};

} // namespace kingcuploom::node
