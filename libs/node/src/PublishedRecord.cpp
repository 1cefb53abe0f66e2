#include "node/PublishedRecord.h"

#include "base/Log.h"

#include <algorithm>

namespace kingcuploom::node {

PublishedRecord::PublishedRecord(AsyncStore& store, std::string key, std::vector<StoreCondition> conditions)
    : m_store(store)
    , m_key(std::move(key))
    , m_conditions(std::move(conditions))
{
}

void PublishedRecord::update(const std::string& value)
{
    if (value != m_value)
        write(value, {}, {});
}

void PublishedRecord::write(const std::string& value, LeaseId lease, Callback callback)
{
    if (!m_isWriting)
        send({ m_key, value, lease }, Attempt::First, std::move(callback));
}

void PublishedRecord::send(StoreWrite write, Attempt attempt, Callback callback)
{
    m_isWriting = true;
    // Until the response, the store may hold either value. Without one, the next write is sent even if its value is the one before.
    m_value.reset();
    Transaction transaction;
    transaction.conditions = m_conditions;
    transaction.conditions.push_back({ m_key, m_revision });
    transaction.writes.push_back(write);
    m_store.commit(
        transaction, [self = shared_from_this(), write = std::move(write), attempt, callback = std::move(callback)](const auto& result) {
            self->onResult(write, attempt, callback, result);
        });
}

void PublishedRecord::onResult(
    const StoreWrite& write, Attempt attempt, const Callback& callback, const Expected<Revision, TransactionFailure>& result)
{
    m_isWriting = false;
    if (result) {
        m_revision = *result;
        m_value = write.value;
    } else {
        logEvent(LogLevel::Debug, "record_write_failed",
            { { "key", m_key }, { "reason", toString(result.error().error) }, { "required_revision", m_revision } });
        const bool isOutdated = result.error().error == StoreError::Conflict && adoptRevision(result.error());
        // An earlier process, or an earlier write without a response, has written the record.
        if (isOutdated && attempt == Attempt::First)
            return send(write, Attempt::Second, callback);
    }
    if (callback)
        callback(result);
}

bool PublishedRecord::adoptRevision(const TransactionFailure& failure)
{
    const auto it = std::ranges::find(failure.current, m_key, &StoreItem::key);
    const auto current = it == failure.current.end() ? Revision() : it->revision;
    return std::exchange(m_revision, current) != current;
}

} // namespace kingcuploom::node
