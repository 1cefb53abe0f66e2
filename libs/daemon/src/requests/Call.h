#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "http/HttpMessage.h"
#include "schema/generated/link_generated.h"

#include <atomic>
#include <functional>
#include <memory>

namespace kingcuploom::requests {

// Identity of a forwarded request: the ingress process and its number there.
struct CallKey {
    std::uint64_t ingress = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const CallKey&) const = default;
};

// A request on its way through this daemon, from a caller or from a peer. Shared between threads; all members from "result" on change
// after it is shared.
struct Call {
    ServiceName service;
    TeamName team;
    http::Request request;
    bool isIdempotent = false;
    MonotonicTime arrivedAt {};
    MonotonicTime deadline {};
    // Owners that passed the request on before.
    std::uint8_t relays = 0;
    // Set when a peer forwarded the request.
    CallKey origin;
    std::function<void(schema::AnswerT&&)> reply;

    // Result of the last execution here; written and read by the thread that ran it.
    schema::AnswerT result;
    // Choices of a shard so far.
    std::atomic<int> routings = 0;
    // A byte may have reached a target: from then on no answer may say that the request was not run.
    std::atomic<bool> mayHaveRun = false;
    std::atomic<bool> isAnswered = false;
};

using CallPtr = std::shared_ptr<Call>;

// Replies once; false when the call has been answered before.
inline bool answer(Call& call, schema::AnswerT&& result)
{
    if (call.isAnswered.exchange(true))
        return false;
    call.reply(std::move(result));
    return true;
}

} // namespace kingcuploom::requests
