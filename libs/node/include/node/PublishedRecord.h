#pragma once

#include "node/AsyncStore.h"

#include <memory>

namespace kingcuploom::node {

// A record that this node writes again and again. Each write requires the revision that the one before has left, so that a write which the
// store carries out late cannot replace a newer one. Runs on the event loop's thread. Must be owned by a shared pointer.
class PublishedRecord : public std::enable_shared_from_this<PublishedRecord> {
public:
    using Callback = StoreCallback<Revision, TransactionFailure>;

    // The conditions are added to those of each write.
    PublishedRecord(AsyncStore&, std::string key, std::vector<StoreCondition> conditions = {});

    // Writes the value. The callback may be empty. While another write is in progress, nothing is written and the callback is dropped.
    void write(const std::string& value, LeaseId, Callback);
    // Writes the value unless the store is known to hold it.
    void update(const std::string& value);

private:
    enum class Attempt { First, Second };

    void send(StoreWrite, Attempt, Callback);
    void onResult(const StoreWrite&, Attempt, const Callback&, const Expected<Revision, TransactionFailure>&);
    // Returns true if the revision differs from the one that the last write required.
    bool adoptRevision(const TransactionFailure&);

    AsyncStore& m_store;
    std::string m_key;
    std::vector<StoreCondition> m_conditions;
    // Revision that the next write requires; 0 if the key is not known to exist.
    Revision m_revision;
    // Value that the store holds; empty while that is not known.
    std::optional<std::string> m_value;
    bool m_isWriting = false;
};

} // namespace kingcuploom::node
