#include "node/Coordinator.h"

#include "base/Log.h"

#include <algorithm>

namespace kingcuploom::node {

namespace {

    using scheduler::GraphJobId;

    // Each takes two conditions and a removal.
    constexpr std::size_t maxCancelsPerTransaction = 10;

} // namespace

void Coordinator::onCancelMarker(const GraphJobId& id, const std::optional<std::string>& value, Revision revision)
{
    if (!value) {
        m_storedCancels.erase(id);
        return m_unstoredCancels.forget(id, revision);
    }
    if (!m_isScheduling) {
        m_storedCancels[id] = { *value, revision };
        return;
    }
    applyOrKeepCancel(id, { *value, revision });
    requestSchedulingPass();
}

void Coordinator::applyOrKeepCancel(const GraphJobId& id, const CancelMarker& marker)
{
    if (scheduler::findJob(m_state, id))
        return applyCancel(id, marker);
    // The time of day of its writer may differ from that of this node, so the marker is kept from now on.
    m_unstoredCancels.add(id, marker, m_clock.now());
}

void Coordinator::applyCancel(const GraphJobId& id, const CancelMarker& marker)
{
    const auto* job = scheduler::findJob(m_state, id);
    const auto requestedAt = decodeCancelMarker(marker.value);
    logEvent(LogLevel::Info, "cancel_read",
        { { "job", id }, { "age_ms", requestedAt ? wallMs() - *requestedAt : 0 }, { "runs", job ? scheduler::countRuns(*job) : 0 },
            { "known", job != nullptr }, { "term", m_state.term } });
    scheduler::cancelJob(m_state, id, m_clock.now(), wallMs(), m_orders);
}

// A submission that is still under way would be stored after the removal, so the markers stay for as long as the states of ended jobs.
void Coordinator::removeUnstoredCancels()
{
    const auto older = m_clock.now() - m_state.parameters.jobRetention;
    const auto expired = m_unstoredCancels.findOlder(older, maxCancelsPerTransaction);
    if (expired.empty() || std::exchange(m_isRemovingCancels, true))
        return;
    Transaction transaction;
    transaction.conditions.push_back({ Leadership::termKey, m_state.term });
    for (const auto& [id, revision] : expired) {
        transaction.conditions.push_back({ jobKey(id), {} });
        transaction.conditions.push_back({ cancelKey(id), revision });
        transaction.removals.push_back(cancelKey(id));
    }
    m_store.commit(transaction, [self = shared_from_this(), expired](const auto& result) {
        self->m_isRemovingCancels = false;
        if (!result) {
            logEvent(LogLevel::Warning, "removal_of_cancellations_failed", { { "reason", toString(result.error().error) } });
            return self->postponeStoredCancels(expired, result.error().current);
        }
        logEvent(LogLevel::Info, "cancellations_forgotten", { { "count", expired.size() }, { "term", self->m_state.term } });
        // The next transaction follows without a pause, so that the markers do not pile up under many cancellations of unknown jobs.
        for (const auto& [id, revision] : expired)
            self->m_unstoredCancels.forget(id, revision);
        if (!self->m_isStopped)
            self->removeUnstoredCancels();
    });
}

// A marker whose job is stored after all is applied once the watch shows the job. One whose job this version cannot read stays with the
// job.
void Coordinator::postponeStoredCancels(const std::vector<std::pair<GraphJobId, Revision>>& cancels, const std::vector<StoreItem>& current)
{
    bool isAnyPostponed = false;
    for (const auto& [id, revision] : cancels) {
        if (std::ranges::find(current, jobKey(id), &StoreItem::key) == current.end())
            continue;
        m_unstoredCancels.postpone(id, m_clock.now());
        isAnyPostponed = true;
    }
    // The others are removed at once, as these would be due again with the next removal if that came late.
    if (isAnyPostponed && !m_isStopped)
        removeUnstoredCancels();
}

} // namespace kingcuploom::node
