#include "resources/ResourceTable.h"

#include <algorithm>

namespace kingcuploom::resources {

namespace {

    bool isAlreadyApplied(const ResourceTable& table, const Change& change)
    {
        const auto it = table.entries.find(change.key);
        if (table.isRevisionOrderIgnored)
            return it != table.entries.end() && change.revision == it->second.revision;
        if (it != table.entries.end())
            return change.revision <= it->second.revision;
        // The table includes every change up to the confirmed revision, so an absent key was deleted after this change.
        return change.revision <= table.confirmedRevision;
    }

    std::vector<Change> findRemovedResources(const ResourceTable& table, const ResourceListing& listing)
    {
        std::set<ResourceKey> listed;
        std::ranges::transform(listing.changes, std::inserter(listed, listed.end()), &Change::key);
        std::vector<Change> removed;
        for (const auto& [key, entry] : table.entries) {
            if (!listed.contains(key) && entry.revision <= listing.storeRevision)
                removed.push_back({ listing.storeRevision, key, nullptr });
        }
        return removed;
    }

} // namespace

bool applyChange(ResourceTable& table, const Change& change, MonotonicTime now)
{
    if (isAlreadyApplied(table, change))
        return false;
    const bool wasPresent = table.entries.contains(change.key);
    if (change.resource)
        table.entries[change.key] = { change.resource, change.revision, now };
    else
        table.entries.erase(change.key);
    table.newestRevision = std::max(table.newestRevision, change.revision);
    return change.resource || wasPresent;
}

std::vector<Change> applyListing(ResourceTable& table, ResourceListing listing, MonotonicTime now)
{
    if (listing.isComplete)
        std::ranges::copy(findRemovedResources(table, listing), std::back_inserter(listing.changes));
    std::ranges::stable_sort(listing.changes, {}, &Change::revision);
    std::vector<Change> applied;
    std::ranges::copy_if(
        listing.changes, std::back_inserter(applied), [&](const Change& change) { return applyChange(table, change, now); });
    table.confirmedRevision = std::max(table.confirmedRevision, listing.storeRevision);
    return applied;
}

const StoredResource* findResource(const ResourceTable& table, const ResourceKey& key)
{
    const auto it = table.entries.find(key);
    if (it == table.entries.end() || it->second.resource->deleted)
        return nullptr;
    return &it->second;
}

Revision getExpectedRevision(const ResourceTable& table, const ResourceKey& key)
{
    const auto it = table.entries.find(key);
    return it == table.entries.end() ? Revision() : it->second.revision;
}

std::set<TeamName> getDeclaredTeams(const ResourceTable& table)
{
    std::set<TeamName> teams;
    for (const auto& [key, entry] : table.entries) {
        if (key.kind == schema::ResourceKind::Team && !entry.resource->deleted)
            teams.emplace(key.name);
    }
    return teams;
}

std::vector<std::pair<ResourceKey, Revision>> expiredTombstones(const ResourceTable& table, MonotonicTime now, Milliseconds maxAge)
{
    std::vector<std::pair<ResourceKey, Revision>> expired;
    for (const auto& [key, entry] : table.entries) {
        if (entry.resource->deleted && now - entry.seenAt >= maxAge)
            expired.emplace_back(key, entry.revision);
    }
    return expired;
}

} // namespace kingcuploom::resources
