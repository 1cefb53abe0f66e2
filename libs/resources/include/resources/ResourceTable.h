#pragma once

#include "base/Clock.h"
#include "base/Expected.h"
#include "resources/ResourceKey.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace kingcuploom::resources {

using ResourcePointer = std::shared_ptr<const schema::ResourceT>;

// A stored resource and the revision of its latest change.
struct StoredResource {
    ResourcePointer resource;
    Revision revision;
    // When this process first saw the revision; the age of a tombstone is measured from this time.
    MonotonicTime seenAt {};
};

// One change in the store. A null resource means that the key was deleted from the store (an expired tombstone).
struct Change {
    Revision revision;
    ResourceKey key;
    ResourcePointer resource;
};

// All resources, including tombstones.
struct ResourceTable {
    std::map<ResourceKey, StoredResource> entries;
    // The table includes every change up to this store revision.
    Revision confirmedRevision;
    // Newest revision among the applied changes.
    Revision newestRevision;
    // Set only by tests that show which faults the revision check prevents.
    bool isRevisionOrderIgnored = false;
};

// Result of one range read of the store.
struct ResourceListing {
    std::vector<Change> changes;
    Revision storeRevision;
    // True for a read of all keys: a key that is not listed was deleted from the store.
    bool isComplete = false;
};

// Applies a change unless the same or a newer revision of the key was already applied. Returns whether the table changed.
bool applyChange(ResourceTable&, const Change&, MonotonicTime now);

// Applies a range read and returns the changes that were new, ordered by revision.
std::vector<Change> applyListing(ResourceTable&, ResourceListing, MonotonicTime now);

// Returns null for unknown keys and tombstones.
const StoredResource* findResource(const ResourceTable&, const ResourceKey&);

// Revision that a compare-and-swap of the key has to expect; a tombstone has one too, an unknown key has Revision().
Revision getExpectedRevision(const ResourceTable&, const ResourceKey&);

std::set<TeamName> getDeclaredTeams(const ResourceTable&);

// Tombstones that were first seen at least maxAge ago.
std::vector<std::pair<ResourceKey, Revision>> expiredTombstones(const ResourceTable&, MonotonicTime now, Milliseconds maxAge);

} // namespace kingcuploom::resources
