#include "node/Coordinator.h"

#include "base/Log.h"

namespace kingcuploom::node {

namespace {

    constexpr Milliseconds inventoryInterval { 1000 };
    // Used while decisions wait for the state of a VM.
    constexpr Milliseconds urgentInventoryInterval { 300 };
    // Bounds the age of the model that the next leader starts with. Each write is a few kilobytes.
    constexpr Milliseconds interferenceInterval { 2000 };

} // namespace

const char* toString(InventoryError error)
{
    switch (error) {
    case InventoryError::NoAnswer:
        return "no_answer";
    case InventoryError::Refused:
        return "refused";
    case InventoryError::Malformed:
        break;
    }
    return "malformed";
}

void Coordinator::readInventory()
{
    const auto now = m_clock.now();
    const auto interval = scheduler::isInventoryUrgent(m_state) ? urgentInventoryInterval : inventoryInterval;
    if (!m_inventory || m_isReadingInventory || now - m_inventoryAt < interval)
        return;
    m_isReadingInventory = true;
    m_inventoryAt = now;
    m_inventory->listVms([self = shared_from_this(), sentAt = now](const Expected<scheduler::Inventory, InventoryError>& inventory) {
        self->m_isReadingInventory = false;
        if (self->m_isStopped)
            return;
        if (!inventory) {
            logEvent(LogLevel::Debug, "inventory_read_failed", { { "reason", toString(inventory.error()) } });
            return;
        }
        scheduler::onInventory(self->m_state, *inventory, sentAt, self->m_clock.now(), self->m_orders);
        self->requestSchedulingPass();
    });
}

// If the model cannot be read, scheduling begins without it: it only improves placement in the first seconds.
void Coordinator::readInterference()
{
    m_store.get(interferenceKey, [self = shared_from_this()](const Expected<std::optional<StoreItem>, StoreError>& item) {
        if (self->m_isStopped)
            return;
        self->m_isInterferenceRead = true;
        const auto learned = item && *item ? decodeInterference((*item)->value) : nullptr;
        if (learned)
            self->m_state.interference.importModels(*learned);
        logEvent(LogLevel::Info, "interference_read",
            { { "images", learned ? learned->models.size() : 0 }, { "reason", item ? "read" : toString(item.error()) },
                { "revision", item && *item ? (*item)->revision : Revision() } });
        self->beginScheduling();
    });
}

void Coordinator::storeInterference()
{
    const auto now = m_clock.now();
    if (now - m_interferenceStoredAt < interferenceInterval)
        return;
    const auto learned = m_state.interference.exportModels();
    if (learned.models.empty())
        return;
    m_interferenceStoredAt = now;
    m_interferenceRecord->update(encodeRecord<schema::LearnedInterference>(learned));
}

void Coordinator::publishPendingCounts()
{
    schema::QueueCountsT counts;
    for (const auto& [name, policy] : m_state.queues) {
        auto count = std::make_unique<schema::QueueCountT>();
        count->queue = name.value();
        count->pending = static_cast<std::uint32_t>(scheduler::pendingJobs(m_state, name, m_clock.now(), wallMs()));
        if (count->pending > 0)
            counts.counts.push_back(std::move(count));
    }
    m_pendingRecord->update(encodeRecord<schema::QueueCounts>(counts));
}

} // namespace kingcuploom::node
