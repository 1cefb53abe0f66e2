#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "daemon/AuditSink.h"
#include "schema/generated/link_generated.h"

#include <map>
#include <mutex>

namespace kingcuploom::requests {

// Audit events of refusals: one per service and reason within an interval, with the number of refusals since the last one, so that
// overload cannot flood the audit log. Thread-safe.
class RefusalAudit {
public:
    explicit RefusalAudit(AuditSink&);

    void count(const ServiceName&, schema::RefusalReason, MonotonicTime now);

private:
    struct Class {
        std::uint64_t unreported = 0;
        std::optional<MonotonicTime> reportedAt;
    };

    AuditSink& m_sink;
    std::mutex m_mutex;
    std::map<std::pair<ServiceName, schema::RefusalReason>, Class> m_classes;
};

} // namespace kingcuploom::requests
