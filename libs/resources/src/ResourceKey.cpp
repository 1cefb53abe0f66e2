#include "resources/ResourceKey.h"

#include <algorithm>
#include <array>

namespace kingcuploom::resources {

namespace {

    struct KindName {
        schema::ResourceKind kind;
        const char* name;
    };

    constexpr std::array kindNames {
        KindName { schema::ResourceKind::Service, "service" },
        KindName { schema::ResourceKind::FailureDomain, "failure_domain" },
        KindName { schema::ResourceKind::Team, "team" },
        KindName { schema::ResourceKind::Policy, "policy" },
    };

} // namespace

const char* const storeKeyPrefix = "/kingcuploom/config/";

const char* toString(schema::ResourceKind kind)
{
    const auto it = std::ranges::find(kindNames, kind, &KindName::kind);
    return it == kindNames.end() ? "unknown" : it->name;
}

std::optional<schema::ResourceKind> parseKind(std::string_view text)
{
    const auto it = std::ranges::find_if(kindNames, [&](const KindName& entry) { return text == entry.name; });
    if (it == kindNames.end())
        return std::nullopt;
    return it->kind;
}

std::string toString(const ResourceKey& key) { return std::string(toString(key.kind)) + "/" + key.name; }

std::optional<ResourceKey> parseResourceKey(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto kind = parseKind(text.substr(0, slash));
    const auto name = text.substr(slash + 1);
    if (!kind || name.empty() || name.find('/') != std::string_view::npos)
        return std::nullopt;
    return ResourceKey { *kind, std::string(name) };
}

std::string makeStoreKey(const ResourceKey& key) { return storeKeyPrefix + toString(key); }

std::optional<ResourceKey> parseStoreKey(std::string_view text)
{
    const std::string_view prefix = storeKeyPrefix;
    if (!text.starts_with(prefix))
        return std::nullopt;
    return parseResourceKey(text.substr(prefix.size()));
}

} // namespace kingcuploom::resources
