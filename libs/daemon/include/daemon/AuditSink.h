#pragma once

#include "schema/generated/records_generated.h"

namespace kingcuploom {

// Takes audit events; the sink sets time and daemon. Thread-safe, does not block.
class AuditSink {
public:
    virtual ~AuditSink() = default;
    virtual void record(schema::AuditEventT) = 0;
};

} // namespace kingcuploom
