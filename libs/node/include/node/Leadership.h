#pragma once

#include "node/PrefixWatcher.h"

#include <random>

namespace kingcuploom::node {

struct LeadershipSettings {
    std::string node;
    std::uint64_t incarnation = 0;
    // Part of a core that this machine has; the machines with most of it lead first.
    double processorShare = 1.0;
    std::uint64_t seed = 0;
};

struct LeadershipCallbacks {
    // This node leads under the term of this revision.
    std::function<void(Revision term)> onLeading;
    // Another node leads, or may do so.
    std::function<void()> onLeadershipLost;
};

// Elects one leader among the nodes. The lease of the holder's key only tells that a leader is gone; the term, a key that each
// new leader rewrites, decides whose commits take effect. Runs on the event loop's thread.
class Leadership {
public:
    static constexpr char holderKey[] = "kc/lead/node";
    static constexpr char termKey[] = "kc/lead/term";

    Leadership(boost::asio::io_context&, AsyncStore&, const Clock&, LeadershipSettings, LeadershipCallbacks);

    void start();
    // Gives the leadership up, so that another node need not wait for the lease. Calls back when that is done or has failed.
    void resign(std::function<void()> onDone);

    bool isLeading() const { return m_leadingTerm.has_value(); }
    // When the store was last asked and confirmed that this node leads.
    MonotonicTime confirmedAt() const { return m_confirmedAt; }
    // A commit under the condition of the term took effect; it was sent at this time.
    void confirm(MonotonicTime sentAt);
    // A commit failed because the term has changed.
    void stepDown();

private:
    void onKeyChange(const std::string& key, const std::optional<std::string>& value, Revision);
    void tick();
    void campaignIfVacant();
    void campaign();
    void claim(LeaseId);
    void onClaimed(LeaseId, MonotonicTime sentAt, const Expected<Revision, TransactionFailure>&);
    void becomeLeader(Revision term, LeaseId, MonotonicTime sentAt);
    void renew();
    void restoreHolderKey();
    void checkTerm();
    bool isHolderOurs() const;
    std::string encodeOwnRecord() const;
    Milliseconds computeCampaignDelay();

    AsyncStore& m_store;
    const Clock& m_clock;
    LeadershipSettings m_settings;
    LeadershipCallbacks m_callbacks;
    std::shared_ptr<PrefixWatcher> m_watcher;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;

    // As seen in the store.
    std::optional<Revision> m_holderRevision;
    std::string m_holderNode;
    std::uint64_t m_holderIncarnation = 0;
    Revision m_term;
    bool m_isCurrent = false;

    std::optional<Revision> m_leadingTerm;
    LeaseId m_lease;
    LeaseId m_claimLease;
    MonotonicTime m_confirmedAt;
    MonotonicTime m_renewedAt;
    MonotonicTime m_checkSentAt;
    std::optional<MonotonicTime> m_campaignAt;
    bool m_isCampaigning = false;
    bool m_isRenewing = false;
    bool m_isChecking = false;
    bool m_isResigned = false;
};

} // namespace kingcuploom::node
