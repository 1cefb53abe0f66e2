#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "link/LinkHub.h"
#include "schema/generated/link_generated.h"

#include <deque>
#include <mutex>

namespace kingcuploom::requests {

// Answers to forwarded requests whose ingress daemon is not connected at the moment: a new daemon may forward requests before its peers
// have connected to it, and a link may break. Thread-safe.
class UnsentAnswers {
public:
    // False when there is no room.
    bool add(const DaemonId& ingress, schema::LinkMessageT&&, MonotonicTime deadline);

    // Sends what can be sent now. Returns the number of answers given up because their deadline has passed.
    std::size_t sendAll(link::LinkHub&, MonotonicTime now);

private:
    struct Answer {
        DaemonId ingress;
        schema::LinkMessageT message;
        MonotonicTime deadline;
    };

    std::mutex m_mutex;
    std::deque<Answer> m_answers;
};

} // namespace kingcuploom::requests
