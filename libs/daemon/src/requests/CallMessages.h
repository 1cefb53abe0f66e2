#pragma once

#include "base/Expected.h"
#include "daemon/ConfigView.h"
#include "http/HttpClient.h"
#include "requests/Call.h"
#include "schema/generated/settings_generated.h"

namespace kingcuploom::requests {

inline constexpr char callPrefix[] = "/v1/call/";

// Why a caller's request cannot be taken.
enum class ParseFailure {
    BadPath,
    BadDeadline,
    BadIdempotent,
    BodyTooLarge,
    HeadersTooLarge,
};

// Fields of a caller's request; reply and arrival are left to the receiver.
Expected<CallPtr, ParseFailure> parseCall(const http::Request&, const schema::SettingsT&, const ConfigSnapshot&, MonotonicTime now);
http::Response toResponse(ParseFailure);

schema::AnswerT makeRefusal(schema::RefusalReason, schema::Outcome, Milliseconds retryAfter = {});

// The deadline has passed without an answer.
schema::AnswerT makeDeadlinePassed(bool wasRun);

// The same refusal for a request that may have run before.
schema::AnswerT makeUncertain(const schema::AnswerT&);
schema::AnswerT makeAnswer(http::Response&&);

// Answer for a failed execution; the outcome is NotRun only when no byte was sent.
schema::AnswerT makeFailure(const http::ClientError&);

http::Response toResponse(const schema::AnswerT&);

schema::ForwardT makeForward(const Call&, const ShardId&, MonotonicTime now);
CallPtr fromForward(const schema::ForwardT&, MonotonicTime now);

// Status that counts as a failure of the executor.
bool isServerError(int status);

} // namespace kingcuploom::requests
