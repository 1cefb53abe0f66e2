#pragma once

#include "node/AsyncStore.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <map>
#include <memory>

namespace kingcuploom::node::test {

// In-memory store on the event loop of the test. Can refuse calls, drop the response of a commit after the write, and report its history
// as compacted.
class FakeAsyncStore final : public AsyncStore {
public:
    explicit FakeAsyncStore(boost::asio::io_context& loop)
        : m_loop(loop)
    {
    }

    // Refuses all calls but renewals of leases.
    bool isRefusing = false;
    bool isRefusingRenewals = false;
    // Watches of this prefix are refused.
    std::string refusedWatch;
    // Listings of this prefix are refused.
    std::string refusedList;
    // Listings that go on after this key are refused.
    std::string refusedAfter;
    // Number of next commits that take effect but report no response.
    int answersToLose = 0;
    bool isHistoryLost = false;
    // Commits with a larger value are refused.
    std::size_t maxValueBytes = std::numeric_limits<std::size_t>::max();
    std::size_t pageSize = 500;
    // Number of next pages that name no item, though more follow.
    int emptyPages = 0;
    int commits = 0;
    // The next commit that writes this key has no response and is carried out by carryOutLate().
    std::string lateKey;
    // The same for all later commits that write it; the last one is kept.
    bool isLateKeyKept = false;
    // Called when that commit has arrived.
    std::function<void()> onLateCommit;
    // Called after each get() has read its value. Lets a test change keys between two reads.
    std::function<void(const std::string& key)> onRead;
    // Called for each lease that is requested, before it is granted.
    std::function<void()> onGrant;
    // Delay of the responses to commits that conflict.
    Milliseconds conflictDelay { 0 };

    void put(const std::string& key, const std::string& value, LeaseId lease = {})
    {
        ++m_revision;
        m_items[key] = { key, value, Revision(m_revision) };
        m_leases[key] = lease;
        m_history.push_back({ key, value, Revision(m_revision) });
    }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        m_history.push_back({ key, std::nullopt, Revision(m_revision) });
    }

    std::optional<StoreItem> find(const std::string& key) const
    {
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional(it->second);
    }

    void get(const std::string& key, StoreCallback<std::optional<StoreItem>> callback) override
    {
        respond(callback, isRefusing ? Expected<std::optional<StoreItem>, StoreError>(makeUnexpected(StoreError::Refused)) : find(key));
        if (onRead)
            onRead(key);
    }

    void list(const std::string& prefix, const std::string& after, StoreCallback<StorePage> callback) override
    {
        if (isRefusing || prefix == refusedList || (!refusedAfter.empty() && after == refusedAfter))
            return respond(callback, Expected<StorePage, StoreError>(makeUnexpected(StoreError::Refused)));
        StorePage page;
        page.asOf = Revision(m_revision);
        if (emptyPages > 0) {
            --emptyPages;
            page.hasMore = true;
            return respond(callback, Expected<StorePage, StoreError>(page));
        }
        for (const auto& [key, item] : m_items) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            page.hasMore = page.items.size() == pageSize;
            if (page.hasMore)
                break;
            page.items.push_back(item);
        }
        respond(callback, Expected<StorePage, StoreError>(page));
    }

    void watch(const std::string& prefix, Revision after, Milliseconds, StoreCallback<StoreEvents> callback) override
    {
        constexpr Milliseconds pause { 2 };
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, pause);
        timer->async_wait([this, timer, prefix, after, callback = std::move(callback)](const boost::system::error_code&) {
            if (!isRefusing && (refusedWatch.empty() || prefix == refusedWatch) && std::exchange(isHistoryLost, false))
                return callback(makeUnexpected(StoreError::HistoryCompacted));
            if (isRefusing || prefix == refusedWatch)
                return callback(makeUnexpected(StoreError::Refused));
            StoreEvents events;
            events.asOf = Revision(m_revision);
            std::ranges::copy_if(m_history, std::back_inserter(events.events),
                [&](const StoreEvent& event) { return event.revision > after && event.key.starts_with(prefix); });
            callback(events);
        });
    }

    void commit(const Transaction& transaction, StoreCallback<Revision, TransactionFailure> callback) override
    {
        ++commits;
        const auto isTooLarge = [this](const StoreWrite& it) { return it.value.size() > maxValueBytes; };
        if (isRefusing || std::ranges::any_of(transaction.writes, isTooLarge))
            return respond(callback, CommitResult(makeUnexpected(TransactionFailure { StoreError::Refused, {} })));
        if (!lateKey.empty() && std::ranges::find(transaction.writes, lateKey, &StoreWrite::key) != transaction.writes.end()) {
            if (!isLateKeyKept)
                lateKey.clear();
            m_late = transaction;
            if (onLateCommit)
                onLateCommit();
            return respond(callback, CommitResult(makeUnexpected(TransactionFailure { StoreError::NoAnswer, {} })));
        }
        auto result = apply(transaction);
        if (!result)
            return respondLater(conflictDelay, callback, result);
        if (answersToLose > 0) {
            --answersToLose;
            result = makeUnexpected(TransactionFailure { StoreError::NoAnswer, {} });
        }
        respond(callback, result);
    }

    bool isCommitLate() const { return m_late.has_value(); }
    void carryOutLate() { apply(*std::exchange(m_late, std::nullopt)); }

    void grantLease(Milliseconds, StoreCallback<LeaseId> callback) override
    {
        if (onGrant)
            onGrant();
        respond(callback, isRefusing ? Expected<LeaseId, StoreError>(makeUnexpected(StoreError::Refused)) : LeaseId(++m_lastLease));
    }

    void renewLease(LeaseId lease, StoreCallback<Done> callback) override
    {
        if (isRefusingRenewals)
            return respond(callback, Expected<Done, StoreError>(makeUnexpected(StoreError::Refused)));
        const bool isKnown = std::ranges::any_of(m_leases, [&](const auto& entry) { return entry.second == lease; });
        respond(callback, isKnown ? Expected<Done, StoreError>(Done {}) : makeUnexpected(StoreError::LeaseExpired));
    }

    void revokeLease(LeaseId lease, StoreCallback<Done> callback) override
    {
        expireLease(lease);
        respond(callback, Expected<Done, StoreError>(Done {}));
    }

    // Removes all keys attached to the lease.
    void expireLease(LeaseId lease)
    {
        const auto leases = m_leases;
        for (const auto& [key, keyLease] : leases) {
            if (keyLease == lease) {
                remove(key);
                m_leases.erase(key);
            }
        }
    }

    LeaseId getLease(const std::string& key) const { return m_leases.at(key); }

private:
    using CommitResult = Expected<Revision, TransactionFailure>;

    CommitResult apply(const Transaction& transaction)
    {
        TransactionFailure conflict { StoreError::Conflict, {} };
        bool areConditionsMet = true;
        for (const auto& condition : transaction.conditions) {
            const auto item = find(condition.key);
            areConditionsMet = areConditionsMet && (item ? item->revision : Revision()) == condition.revision;
            if (item)
                conflict.current.push_back(*item);
        }
        if (!areConditionsMet)
            return makeUnexpected(conflict);
        ++m_revision;
        for (const auto& write : transaction.writes) {
            m_items[write.key] = { write.key, write.value, Revision(m_revision) };
            m_leases[write.key] = write.lease;
            m_history.push_back({ write.key, write.value, Revision(m_revision) });
        }
        for (const auto& key : transaction.removals) {
            if (m_items.erase(key) > 0)
                m_history.push_back({ key, std::nullopt, Revision(m_revision) });
        }
        return Revision(m_revision);
    }

    template <typename Callback, typename Result> void respond(const Callback& callback, Result result)
    {
        boost::asio::post(m_loop, [callback, result] { callback(result); });
    }

    template <typename Callback, typename Result> void respondLater(Milliseconds delay, const Callback& callback, Result result)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, callback, result](const boost::system::error_code&) { callback(result); });
    }

    boost::asio::io_context& m_loop;
    std::map<std::string, StoreItem> m_items;
    std::map<std::string, LeaseId> m_leases;
    std::vector<StoreEvent> m_history;
    std::optional<Transaction> m_late;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
};

} // namespace kingcuploom::node::test
