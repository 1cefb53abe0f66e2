#pragma once

#include "node/AsyncStore.h"
#include "scheduler/Model.h"

namespace kingcuploom::node {

// A cancellation marker as it is stored.
struct CancelMarker {
    std::string value;
    Revision revision;
};

// Markers of cancelled jobs that are not stored. The leader keeps them for as long as a submission can still be under way: a node of an
// earlier version stores such a job in spite of its marker.
class UnstoredCancels {
public:
    void add(const scheduler::GraphJobId&, CancelMarker, MonotonicTime seenAt);
    // Returns the marker and forgets it, because the job is stored after all.
    std::optional<CancelMarker> take(const scheduler::GraphJobId&);
    // Forgets the marker unless it has been written again since the revision.
    void forget(const scheduler::GraphJobId&, Revision);
    // Counts the marker as seen at this time.
    void postpone(const scheduler::GraphJobId&, MonotonicTime);
    // Returns at most the given number of jobs whose marker was seen first, or again, before the time.
    std::vector<std::pair<scheduler::GraphJobId, Revision>> findOlder(MonotonicTime, std::size_t limit) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        CancelMarker marker;
        MonotonicTime seenAt;
    };

    std::map<scheduler::GraphJobId, Entry> m_entries;
};

} // namespace kingcuploom::node
