#include "ResultCodes.h"

namespace kingcuploom::relay {

using scheduler::PollFailure;
using scheduler::StartResult;
using scheduler::StopResult;
using schema::RelayResult;

RelayResult toRelayResult(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return RelayResult::Accepted;
    case StartResult::Fenced:
        return RelayResult::Fenced;
    case StartResult::Superseded:
        return RelayResult::Superseded;
    case StartResult::Late:
        return RelayResult::Late;
    case StartResult::NoRoom:
        return RelayResult::NoRoom;
    case StartResult::NoTicket:
        return RelayResult::NoTicket;
    case StartResult::Unhealthy:
        return RelayResult::Unhealthy;
    case StartResult::Refused:
        return RelayResult::Refused;
    case StartResult::NotSent:
        return RelayResult::NotSent;
    // The remaining reasons to withhold a start are decided before it is sent, all but the first of them by the leader.
    case StartResult::StaleView:
    case StartResult::WorkerLeaving:
    case StartResult::PermitExpired:
    case StartResult::StoreSilent:
    case StartResult::RelayLost:
        return RelayResult::Expired;
    // Leaders of earlier versions know no other code for it.
    case StartResult::DeliveredUnanswered:
    case StartResult::NoAnswer:
        break;
    }
    return RelayResult::NoAnswer;
}

RelayResult toRelayResult(StopResult result)
{
    switch (result) {
    case StopResult::Accepted:
        return RelayResult::Accepted;
    case StopResult::Fenced:
        return RelayResult::Fenced;
    case StopResult::Refused:
        return RelayResult::Refused;
    case StopResult::NoAnswer:
        break;
    }
    return RelayResult::NoAnswer;
}

RelayResult toRelayResult(PollFailure failure)
{
    switch (failure) {
    case PollFailure::Fenced:
        return RelayResult::Fenced;
    case PollFailure::OtherIncarnation:
        return RelayResult::OtherIncarnation;
    case PollFailure::Refused:
        return RelayResult::Refused;
    case PollFailure::NoAnswer:
        break;
    }
    return RelayResult::NoAnswer;
}

StartResult toStartResult(RelayResult result)
{
    switch (result) {
    case RelayResult::Accepted:
        return StartResult::Started;
    case RelayResult::Fenced:
        return StartResult::Fenced;
    case RelayResult::Superseded:
        return StartResult::Superseded;
    case RelayResult::Late:
        return StartResult::Late;
    case RelayResult::NoRoom:
        return StartResult::NoRoom;
    case RelayResult::NoTicket:
        return StartResult::NoTicket;
    case RelayResult::Unhealthy:
        return StartResult::Unhealthy;
    case RelayResult::Refused:
    case RelayResult::OtherIncarnation:
        return StartResult::Refused;
    case RelayResult::NotSent:
        return StartResult::NotSent;
    case RelayResult::Expired:
        return StartResult::StaleView;
    case RelayResult::UnknownNumber:
        return StartResult::RelayLost;
    case RelayResult::NoAnswer:
        break;
    }
    return StartResult::NoAnswer;
}

StopResult toStopResult(RelayResult result)
{
    switch (result) {
    case RelayResult::Accepted:
        return StopResult::Accepted;
    case RelayResult::Fenced:
        return StopResult::Fenced;
    case RelayResult::Refused:
    case RelayResult::OtherIncarnation:
        return StopResult::Refused;
    default:
        return StopResult::NoAnswer;
    }
}

PollFailure toPollFailure(RelayResult result)
{
    switch (result) {
    case RelayResult::Fenced:
        return PollFailure::Fenced;
    case RelayResult::OtherIncarnation:
        return PollFailure::OtherIncarnation;
    case RelayResult::Refused:
        return PollFailure::Refused;
    default:
        return PollFailure::NoAnswer;
    }
}

} // namespace kingcuploom::relay
