#include "requests/RefusalAudit.h"

namespace kingcuploom::requests {

namespace {

    constexpr std::chrono::seconds reportInterval { 10 };
    // Callers choose the service's name, so the table is bounded.
    constexpr std::size_t maxClasses = 1024;

    schema::AuditEventT makeEvent(const ServiceName& service, schema::RefusalReason reason, std::uint64_t count)
    {
        schema::AuditEventT event;
        event.object = "service/" + service.value();
        event.action = "requests_refused";
        event.reason = schema::EnumNameRefusalReason(reason);
        event.figures = "count=" + std::to_string(count);
        return event;
    }

} // namespace

RefusalAudit::RefusalAudit(AuditSink& sink)
    : m_sink(sink)
{
}

void RefusalAudit::count(const ServiceName& service, schema::RefusalReason reason, MonotonicTime now)
{
    std::uint64_t unreported = 0;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_classes.size() >= maxClasses)
            m_classes.clear();
        auto& it = m_classes[{ service, reason }];
        ++it.unreported;
        if (it.reportedAt && now - *it.reportedAt < reportInterval)
            return;
        it.reportedAt = now;
        unreported = std::exchange(it.unreported, 0);
    }
    m_sink.record(makeEvent(service, reason, unreported));
}

} // namespace kingcuploom::requests
