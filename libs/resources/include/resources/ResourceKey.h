#pragma once

#include "base/Ids.h"
#include "schema/generated/resources_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcuploom::resources {

// Identity of a declared resource.
struct ResourceKey {
    schema::ResourceKind kind = schema::ResourceKind::Service;
    std::string name;

    auto operator<=>(const ResourceKey&) const = default;
};

// "service", "failure_domain", "team" or "policy"; the form used in store keys, paths and audit events.
const char* toString(schema::ResourceKind);
std::optional<schema::ResourceKind> parseKind(std::string_view);

// "<kind>/<name>".
std::string toString(const ResourceKey&);
std::optional<ResourceKey> parseResourceKey(std::string_view);

// "/kingcuploom/config/".
extern const char* const storeKeyPrefix;
std::string makeStoreKey(const ResourceKey&);
std::optional<ResourceKey> parseStoreKey(std::string_view);

} // namespace kingcuploom::resources
