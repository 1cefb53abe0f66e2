#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "schema/generated/resources_generated.h"

#include <map>
#include <memory>
#include <optional>

namespace kingcuploom {

// Resources in force at one revision. Immutable.
struct ConfigSnapshot {
    Revision revision;
    std::map<ServiceName, schema::ServiceSpecT> services;
    std::map<FailureDomain, schema::FailureDomainSpecT> domains;
    std::map<TeamName, schema::TeamSpecT> teams;
    schema::PolicySpecT policy;

    bool isOutOfService(const FailureDomain& domain) const
    {
        const auto it = domains.find(domain);
        return it != domains.end() && it->second.state == schema::DomainState::OutOfService;
    }
};

// Read access to the configuration. Thread-safe.
class ConfigView {
public:
    virtual ~ConfigView() = default;

    virtual std::shared_ptr<const ConfigSnapshot> snapshot() const = 0;

    // When the read was sent that last confirmed the configuration as current; nothing before the first one.
    virtual std::optional<MonotonicTime> confirmedAt() const = 0;
};

} // namespace kingcuploom
