#pragma once

#include "scheduler/Orders.h"
#include "schema/generated/link_generated.h"

// Results of orders as they are sent between a relay and a leader.
namespace kingcuploom::relay {

schema::RelayResult toRelayResult(scheduler::StartResult);
schema::RelayResult toRelayResult(scheduler::StopResult);
schema::RelayResult toRelayResult(scheduler::PollFailure);

scheduler::StartResult toStartResult(schema::RelayResult);
scheduler::StopResult toStopResult(schema::RelayResult);
scheduler::PollFailure toPollFailure(schema::RelayResult);

} // namespace kingcuploom::relay
