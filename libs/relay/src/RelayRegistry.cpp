#include "relay/RelayRegistry.h"

#include "base/Log.h"
#include "node/Records.h"
#include "schema/generated/relay_generated.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>

namespace kingcuploom::relay {

namespace {

    using node::StoreError;
    using node::StoreItem;

    // An entry outlives its node by this time at most; the leader's connection fails earlier.
    constexpr Milliseconds entryTtl { 6000 };
    constexpr Milliseconds renewInterval { 2000 };
    constexpr Milliseconds retryInterval { 500 };
    constexpr Milliseconds watchTimeout { 5000 };
    constexpr int linkKeyWords = 4;

    std::string makeLinkKey()
    {
        std::random_device random;
        std::ostringstream text;
        for (int i = 0; i < linkKeyWords; ++i)
            text << std::hex << std::setw(8) << std::setfill('0') << random();
        return text.str();
    }

    std::string encodeMember(const Member& member)
    {
        schema::RelayMemberT record;
        record.node = member.node.value();
        record.incarnation = member.incarnation.value();
        record.address = member.address.value();
        record.domain = member.domain.value();
        record.processor_share = member.processorShare;
        record.link_mbps = member.linkMbps;
        record.takes_worker_fences = member.takesWorkerFences;
        record.takes_start_fences = member.takesStartFences;
        return node::encodeRecord<schema::RelayMember>(record);
    }

    std::optional<Member> decodeMember(const std::string& value)
    {
        const auto record = node::decodeRecord<schema::RelayMember>(value);
        if (!record || record->node.empty() || record->address.empty())
            return std::nullopt;
        return Member { DaemonId(record->node), Incarnation(record->incarnation), Address(record->address), FailureDomain(record->domain),
            record->processor_share, record->link_mbps, record->takes_worker_fences, record->takes_start_fences };
    }

} // namespace

RelayRegistry::RelayRegistry(boost::asio::io_context& loop, node::AsyncStore& store, const Clock& clock, RegistryCallbacks callbacks)
    : m_loop(loop)
    , m_store(store)
    , m_clock(clock)
    , m_callbacks(std::move(callbacks))
    , m_timer(loop)
{
}

void RelayRegistry::after(Milliseconds delay, void (RelayRegistry::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = weak_from_this(), step](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_hasLeft)
            (self.get()->*step)();
    });
}

void RelayRegistry::readLinkKey()
{
    m_store.get(linkKeyKey, [weak = weak_from_this()](const Expected<std::optional<StoreItem>, StoreError>& item) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!item)
            return self->after(retryInterval, &RelayRegistry::readLinkKey);
        *item ? self->m_callbacks.onLinkKey((*item)->value) : self->writeLinkKey();
    });
}

// Read back in any case: another node may have been first, or the answer may have been lost.
void RelayRegistry::writeLinkKey()
{
    node::Transaction transaction;
    transaction.conditions.push_back({ linkKeyKey, {} });
    transaction.writes.push_back({ linkKeyKey, makeLinkKey(), {} });
    m_store.commit(transaction, [weak = weak_from_this()](const auto&) {
        if (const auto self = weak.lock())
            self->readLinkKey();
    });
}

void RelayRegistry::join(const Member& self)
{
    m_self = self;
    m_entry = std::make_shared<node::PublishedRecord>(m_store, memberPrefix + self.node.value());
    requestLease();
}

void RelayRegistry::requestLease()
{
    m_store.grantLease(entryTtl, [weak = weak_from_this()](const Expected<LeaseId, StoreError>& lease) {
        const auto self = weak.lock();
        if (!self || self->m_hasLeft)
            return;
        if (!lease)
            return self->after(retryInterval, &RelayRegistry::requestLease);
        self->m_lease = *lease;
        self->writeEntry();
    });
}

void RelayRegistry::writeEntry()
{
    m_entry->write(encodeMember(m_self), m_lease, [weak = weak_from_this()](const auto& result) {
        const auto self = weak.lock();
        if (!self || self->m_hasLeft)
            return;
        if (!result)
            return self->after(retryInterval, &RelayRegistry::requestLease);
        logEvent(LogLevel::Info, "relay_registered", { { "node", self->m_self.node }, { "address", self->m_self.address } });
        self->after(renewInterval, &RelayRegistry::renew);
    });
}

void RelayRegistry::renew()
{
    m_store.renewLease(m_lease, [weak = weak_from_this()](const Expected<node::Done, StoreError>& result) {
        const auto self = weak.lock();
        if (!self || self->m_hasLeft)
            return;
        if (!result && result.error() == StoreError::LeaseExpired)
            return self->requestLease();
        self->after(result ? renewInterval : retryInterval, &RelayRegistry::renew);
    });
}

void RelayRegistry::leave()
{
    if (std::exchange(m_hasLeft, true) || m_lease == LeaseId())
        return;
    m_timer.cancel();
    m_store.revokeLease(m_lease, [](const auto&) {});
}

void RelayRegistry::setWatching(bool isWatching)
{
    if (m_watcher)
        m_watcher->stop();
    m_watcher.reset();
    m_members.clear();
    m_isListed = false;
    if (!isWatching)
        return;
    node::WatchCallbacks callbacks;
    callbacks.onChange = [this](const auto& key, const auto& value, Revision) { onEntry(key, value); };
    callbacks.onCurrent = [this](MonotonicTime) {
        if (!std::exchange(m_isListed, true))
            onEntry({}, std::nullopt);
    };
    callbacks.onFailure = [](StoreError) {};
    m_watcher = std::make_shared<node::PrefixWatcher>(m_loop, m_store, m_clock, memberPrefix, watchTimeout, std::move(callbacks));
    m_watcher->start();
}

void RelayRegistry::onEntry(const std::string& key, const std::optional<std::string>& value)
{
    const auto member = value ? decodeMember(*value) : std::nullopt;
    if (value && !member)
        logEvent(LogLevel::Warning, "relay_entry_unreadable", { { "key", key } });
    if (member)
        m_members[key] = *member;
    else
        m_members.erase(key);
    // The first listing is reported as a whole.
    if (!m_isListed)
        return;
    std::vector<Member> members;
    std::ranges::transform(m_members, std::back_inserter(members), [](const auto& entry) { return entry.second; });
    m_callbacks.onMembers(members);
}

} // namespace kingcuploom::relay
