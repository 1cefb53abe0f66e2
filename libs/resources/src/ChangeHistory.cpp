#include "resources/ChangeHistory.h"

#include <algorithm>

namespace kingcuploom::resources {

void resetHistory(ChangeHistory& history, Revision minRevision)
{
    history.changes.clear();
    history.minRevision = minRevision;
}

void appendChange(ChangeHistory& history, const Change& change)
{
    const auto newest = history.changes.empty() ? history.minRevision : history.changes.back().revision;
    if (change.revision < newest) {
        // One above the newest revision, so that a watch at the newest revision has to list again too.
        resetHistory(history, newest.next());
        return;
    }
    history.changes.push_back(change);
    if (history.changes.size() <= history.maxChanges)
        return;
    history.minRevision = history.changes.front().revision;
    history.changes.pop_front();
}

Expected<std::vector<Change>, RevisionTooOld> getChangesAfter(const ChangeHistory& history, Revision after)
{
    if (after < history.minRevision)
        return makeUnexpected(RevisionTooOld { history.minRevision });
    const auto first = std::ranges::upper_bound(history.changes, after, {}, &Change::revision);
    return std::vector<Change>(first, history.changes.end());
}

} // namespace kingcuploom::resources
