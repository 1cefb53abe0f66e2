#pragma once

#include "resources/ResourceTable.h"

#include <deque>

namespace kingcuploom::resources {

// The newest changes, ordered by revision, from which watches are served.
struct ChangeHistory {
    std::deque<Change> changes;
    // Watches can continue from this revision or a later one.
    Revision minRevision;
    std::size_t maxChanges = 4096;
};

// The history no longer holds every change after the requested revision. The client has to list again and to watch from the revision
// of that listing.
struct RevisionTooOld {
    Revision minRevision;
};

// Drops all changes. A watch can then continue only from a listing at minRevision or later.
void resetHistory(ChangeHistory&, Revision minRevision);

// A change that arrives after a newer one resets the history, because a watch may already have moved past its revision.
void appendChange(ChangeHistory&, const Change&);

Expected<std::vector<Change>, RevisionTooOld> getChangesAfter(const ChangeHistory&, Revision);

} // namespace kingcuploom::resources
