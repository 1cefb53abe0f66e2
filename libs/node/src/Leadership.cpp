#include "node/Leadership.h"

#include "base/Log.h"
#include "node/Records.h"

#include <algorithm>

namespace kingcuploom::node {

namespace {

    constexpr char leadershipPrefix[] = "kc/lead/";
    // Lease of the holder key. Bounds the time until the failure of a leader is detected.
    constexpr Milliseconds leaseTtl { 2000 };
    constexpr Milliseconds renewInterval { 600 };
    constexpr Milliseconds tickInterval { 100 };
    // If no commit has confirmed the leadership for this time, the term key is read.
    constexpr Milliseconds confirmInterval { 500 };
    constexpr Milliseconds watchTimeout { 1500 };
    // Upper bound of the random campaign delay, which lets most candidates see that another one was first.
    constexpr Milliseconds campaignJitter { 60 };
    // Maximum extra campaign delay of nodes with a small CPU share.
    constexpr Milliseconds maxLowCpuDelay { 400 };
    // Share of a core from which on a node campaigns without the extra delay.
    constexpr double fullShare = 0.5;
    // A leader hands over to a node with at least this many times its share.
    constexpr double handoverFactor = 2;
    // Time that a candidate knows the holder before it requests a handover, and between requests. Bounds how often the leader changes
    // while nodes start up one after the other.
    constexpr Milliseconds handoverInterval { 3000 };
    // Extra campaign delay after a handover request of nodes with a smaller share than the requesting node.
    constexpr Milliseconds handoverDelay { 500 };
    // The store counts as serving a leader for this time after an answer to a call for the leadership.
    constexpr Milliseconds servedTime { 1200 };
    // Time without a confirmation of the term after which a leader whose lease is renewed gives it up. Another node can then lead that the
    // store serves in full.
    constexpr Milliseconds unconfirmedLimit { 3000 };
    // Delay after a failed attempt, added to the campaign delay. A leader whose holder key expired during a store outage restores it before
    // candidates retry.
    constexpr Milliseconds retryDelay { 300 };

    // Larger shares than a full one make no difference.
    double clampShare(double share) { return std::clamp(share, 0.0, fullShare); }

    bool isMuchLarger(double share, double holderShare)
    {
        return holderShare > 0 && clampShare(share) >= clampShare(holderShare) * handoverFactor;
    }

} // namespace

const char* toString(AbandonReason reason)
{
    switch (reason) {
    case AbandonReason::HandlerFailed:
        return "handler_failed";
    case AbandonReason::Unconfirmed:
        return "unconfirmed";
    case AbandonReason::RecordsNotRead:
        return "records_not_read";
    case AbandonReason::JobsNotFollowed:
        break;
    }
    return "jobs_not_followed";
}

Leadership::Leadership(
    boost::asio::io_context& loop, AsyncStore& store, const Clock& clock, LeadershipSettings settings, LeadershipCallbacks callbacks)
    : m_store(store)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_callbacks(std::move(callbacks))
    , m_timer(loop)
    , m_random(m_settings.seed)
{
    WatchCallbacks watchCallbacks;
    watchCallbacks.onChange = [this](const auto& key, const auto& value, Revision revision) { onKeyChange(key, value, revision); };
    watchCallbacks.onCurrent = [this](MonotonicTime) {
        m_isWatchCurrent = true;
        campaignIfVacant();
    };
    watchCallbacks.onFailure = [this](StoreError) { m_isWatchCurrent = false; };
    m_watcher = std::make_shared<PrefixWatcher>(loop, store, clock, leadershipPrefix, watchTimeout, std::move(watchCallbacks));
}

void Leadership::start()
{
    m_watcher->start();
    tick();
}

void Leadership::resign(std::function<void()> onDone)
{
    m_isResigned = true;
    if (!m_leadingTerm)
        return onDone();
    logEvent(LogLevel::Info, "leadership_resigned", { { "term", m_term } });
    release(std::move(onDone));
}

void Leadership::release(std::function<void()> onDone)
{
    m_releasedTerm = std::exchange(m_leadingTerm, std::nullopt);
    m_callbacks.onLeadershipLost();
    m_store.revokeLease(m_lease, [onDone = std::move(onDone)](const auto&) { onDone(); });
}

void Leadership::confirm(MonotonicTime sentAt) { m_confirmedAt = std::max(m_confirmedAt, sentAt); }

void Leadership::stepDown()
{
    if (!m_leadingTerm)
        return;
    logEvent(LogLevel::Warning, "leadership_lost", { { "term", *m_leadingTerm }, { "newer_term", m_term } });
    m_leadingTerm.reset();
    m_callbacks.onLeadershipLost();
}

bool Leadership::isServed() const { return m_clock.now() - std::max(m_renewalConfirmedAt, m_confirmedAt) < servedTime; }

void Leadership::abandonTerm(AbandonReason reason)
{
    if (!m_leadingTerm)
        return;
    logEvent(LogLevel::Warning, "leadership_abandoned", { { "term", m_term }, { "reason", toString(reason) } });
    release([] {});
}

void Leadership::onKeyChange(const std::string& key, const std::optional<std::string>& value, Revision revision)
{
    if (key == termKey) {
        m_term = std::max(m_term, revision);
        if (m_leadingTerm && m_term > *m_leadingTerm)
            stepDown();
        return;
    }
    if (key == holderKey)
        onHolderChange(value, revision);
    else if (key == handoverKey)
        onHandoverChange(value, revision);
}

void Leadership::onHolderChange(const std::optional<std::string>& value, Revision revision)
{
    m_holderRevision = value ? std::optional(revision) : std::nullopt;
    const auto record = value ? decodeRecord<schema::LeaderRecord>(*value) : nullptr;
    m_holderNode = record ? record->node : std::string();
    m_holderIncarnation = record ? record->incarnation : 0;
    m_holderShare = record ? record->processor_share : 0;
    if (m_holderRevision)
        m_vacantSince.reset();
    else if (!m_vacantSince)
        m_vacantSince = m_clock.now();
    m_handoverRequestAt = m_clock.now() + handoverInterval;
    // A time from an earlier vacancy would let this node campaign before nodes with a larger share.
    m_campaignAt.reset();
    logEvent(LogLevel::Info, "leader_seen", { { "holder", m_holderNode.empty() ? "none" : m_holderNode }, { "revision", revision } });
}

void Leadership::onHandoverChange(const std::optional<std::string>& value, Revision revision)
{
    m_handoverRevision = value ? std::optional(revision) : std::nullopt;
    const auto record = value ? decodeRecord<schema::LeaderRecord>(*value) : nullptr;
    m_handoverNode = record ? record->node : std::string();
    m_handoverShare = record ? record->processor_share : 0;
}

bool Leadership::isHandoverRequested() const { return m_handoverRevision && *m_handoverRevision > m_term; }

bool Leadership::shouldRequestHandover() const
{
    return m_holderRevision && m_holderNode != m_settings.node && isMuchLarger(m_settings.processorShare, m_holderShare)
        && !isHandoverRequested() && !m_isRequestingHandover && !m_isResigned && m_isWatchCurrent && m_clock.now() >= m_handoverRequestAt;
}

bool Leadership::isHolderOurs() const
{
    return m_holderRevision && m_holderNode == m_settings.node && m_holderIncarnation == m_settings.incarnation;
}

std::string Leadership::encodeOwnRecord() const
{
    schema::LeaderRecordT record;
    record.node = m_settings.node;
    record.incarnation = m_settings.incarnation;
    record.processor_share = m_settings.processorShare;
    return encodeRecord<schema::LeaderRecord>(record);
}

Milliseconds Leadership::computeCampaignDelay()
{
    const auto share = clampShare(m_settings.processorShare);
    const auto cpuDelay = std::chrono::duration_cast<Milliseconds>(maxLowCpuDelay * (1 - share / fullShare));
    const bool isHandover = isHandoverRequested() && share < clampShare(m_handoverShare);
    return cpuDelay + (isHandover ? handoverDelay : Milliseconds(0))
        + Milliseconds(std::uniform_int_distribution<std::int64_t>(0, campaignJitter.count())(m_random));
}

void Leadership::tick()
{
    const auto now = m_clock.now();
    if (m_leadingTerm && !m_isRenewing && isHandoverRequested() && isMuchLarger(m_handoverShare, m_settings.processorShare)) {
        logEvent(LogLevel::Info, "leadership_handed_over", { { "term", m_term }, { "to", m_handoverNode } });
        release([] {});
    }
    // The lease alone does not show that this node can lead: the store may serve its renewals and refuse its other calls.
    if (m_leadingTerm && isServed() && now - m_confirmedAt >= unconfirmedLimit)
        abandonTerm(AbandonReason::Unconfirmed);
    if (m_leadingTerm) {
        if (!m_isRenewing && now - m_renewedAt >= renewInterval)
            renew();
        if (!m_isChecking && now - std::max(m_confirmedAt, m_checkSentAt) >= confirmInterval)
            checkTerm();
    } else {
        campaignIfVacant();
        if (shouldRequestHandover())
            requestHandover();
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void Leadership::campaignIfVacant()
{
    if (m_leadingTerm || m_isCampaigning || m_isResigned || !m_isWatchCurrent)
        return;
    // Equal revisions show that a claim of this process took effect and its response was lost: the claim writes both keys at once.
    if (isHolderOurs() && *m_holderRevision == m_term && m_releasedTerm != m_term)
        return becomeLeader(m_term, m_claimLease, m_clock.now());
    // The key belongs to an earlier process of this node, which has ended, since this process could bind its addresses.
    const bool isEarlierProcess = m_holderRevision && m_holderNode == m_settings.node && !isHolderOurs();
    if (m_holderRevision && !isEarlierProcess)
        return;
    const auto now = m_clock.now();
    if (!m_campaignAt)
        m_campaignAt = isEarlierProcess ? now : now + computeCampaignDelay();
    if (now >= *m_campaignAt)
        campaign();
}

void Leadership::retryLater()
{
    m_isCampaigning = false;
    m_campaignAt = m_clock.now() + retryDelay + computeCampaignDelay();
}

void Leadership::campaign()
{
    m_isCampaigning = true;
    m_store.grantLease(leaseTtl, [this](const Expected<LeaseId, StoreError>& lease) {
        if (lease)
            return claim(*lease);
        retryLater();
    });
}

void Leadership::claim(LeaseId lease)
{
    // Another node may have become leader while the lease was being granted.
    if (m_holderRevision && m_holderNode != m_settings.node) {
        m_isCampaigning = false;
        m_campaignAt.reset();
        return;
    }
    m_claimLease = lease;
    Transaction transaction;
    transaction.conditions = { { holderKey, m_holderRevision.value_or(Revision()) }, { termKey, m_term } };
    transaction.writes = { { holderKey, encodeOwnRecord(), lease }, { termKey, encodeOwnRecord(), {} } };
    const auto sentAt = m_clock.now();
    m_store.commit(transaction, [this, lease, sentAt](const auto& result) { onClaimed(lease, sentAt, result); });
}

void Leadership::onClaimed(LeaseId lease, MonotonicTime sentAt, const Expected<Revision, TransactionFailure>& result)
{
    // A claim without a response may have taken effect; the watch then reports this process as the holder. If it did not, the unused
    // lease expires.
    if (!result)
        return retryLater();
    m_isCampaigning = false;
    m_campaignAt.reset();
    becomeLeader(*result, lease, sentAt);
}

void Leadership::becomeLeader(Revision term, LeaseId lease, MonotonicTime sentAt)
{
    if (m_isResigned || m_leadingTerm || term < m_term)
        return;
    m_lease = lease;
    m_term = term;
    m_leadingTerm = term;
    m_confirmedAt = sentAt;
    m_renewedAt = sentAt;
    m_vacancy = m_vacantSince ? std::chrono::duration_cast<Milliseconds>(m_clock.now() - *m_vacantSince) : Milliseconds(0);
    logEvent(LogLevel::Info, "leadership_taken", { { "term", m_term }, { "node", m_settings.node }, { "vacant_ms", m_vacancy.count() } });
    m_callbacks.onLeading(m_term);
}

void Leadership::renew()
{
    m_isRenewing = true;
    m_renewedAt = m_clock.now();
    m_store.renewLease(m_lease, [this](const Expected<Done, StoreError>& result) {
        m_isRenewing = false;
        if (result)
            m_renewalConfirmedAt = m_clock.now();
        if (m_leadingTerm && !result && result.error() == StoreError::LeaseExpired)
            restoreHolderKey();
    });
}

// Called after the lease has expired. While no other node has rewritten the term key, the state of this leader is still valid, so only
// the holder key is written again.
void Leadership::restoreHolderKey()
{
    m_isRenewing = true;
    m_store.grantLease(leaseTtl, [this](const Expected<LeaseId, StoreError>& lease) {
        if (!lease || !m_leadingTerm) {
            m_isRenewing = false;
            return;
        }
        Transaction transaction;
        transaction.conditions = { { holderKey, {} }, { termKey, *m_leadingTerm } };
        transaction.writes = { { holderKey, encodeOwnRecord(), *lease } };
        const auto sentAt = m_clock.now();
        m_store.commit(transaction, [this, lease = *lease, sentAt](const Expected<Revision, TransactionFailure>& result) {
            m_isRenewing = false;
            if (!result || !m_leadingTerm)
                return;
            m_lease = lease;
            confirm(sentAt);
            logEvent(LogLevel::Info, "leader_lease_renewed", { { "term", m_term } });
        });
    });
}

// The conditions let one candidate's request take effect in a term, and none of an earlier term.
void Leadership::requestHandover()
{
    m_isRequestingHandover = true;
    m_handoverRequestAt = m_clock.now() + handoverInterval;
    Transaction transaction;
    transaction.conditions
        = { { termKey, m_term }, { holderKey, *m_holderRevision }, { handoverKey, m_handoverRevision.value_or(Revision()) } };
    transaction.writes = { { handoverKey, encodeOwnRecord(), {} } };
    m_store.commit(transaction, [this, holder = m_holderNode](const Expected<Revision, TransactionFailure>& result) {
        m_isRequestingHandover = false;
        logEvent(LogLevel::Info, "handover_requested",
            { { "holder", holder }, { "result", result ? "done" : toString(result.error().error) }, { "term", m_term } });
    });
}

void Leadership::checkTerm()
{
    m_isChecking = true;
    m_checkSentAt = m_clock.now();
    m_store.get(termKey, [this, sentAt = m_checkSentAt](const Expected<std::optional<StoreItem>, StoreError>& item) {
        m_isChecking = false;
        if (!item || !m_leadingTerm)
            return;
        if (!*item || (*item)->revision != *m_leadingTerm)
            return stepDown();
        confirm(sentAt);
    });
}

} // namespace kingcuploom::node
