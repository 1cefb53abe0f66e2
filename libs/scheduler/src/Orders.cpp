#include "scheduler/Orders.h"

namespace kingcuploom::scheduler {

const char* toString(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "fenced";
    case StartResult::Superseded:
        return "old";
    case StartResult::Late:
        return "late";
    case StartResult::NoRoom:
        return "no_room";
    case StartResult::NoTicket:
        return "no_ticket";
    case StartResult::Unhealthy:
        return "unhealthy";
    case StartResult::Refused:
        return "refused";
    case StartResult::NotSent:
        return "not_sent";
    case StartResult::StaleView:
        return "view_old";
    case StartResult::WorkerLeaving:
        return "worker_leaving";
    case StartResult::PermitExpired:
        return "permit_expired";
    case StartResult::StoreSilent:
        return "store_silent";
    case StartResult::RelayLost:
        return "relay_lost";
    case StartResult::DeliveredUnanswered:
        return "delivered_unanswered";
    case StartResult::NoAnswer:
        break;
    }
    return "no_answer";
}

const char* toString(StopResult result)
{
    switch (result) {
    case StopResult::Accepted:
        return "accepted";
    case StopResult::Fenced:
        return "fenced";
    case StopResult::Refused:
        return "refused";
    case StopResult::NoAnswer:
        break;
    }
    return "no_answer";
}

const char* toString(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::Lapsed:
        return "lapsed";
    case EndKind::GangMemberEnded:
        return "broken";
    case EndKind::GangIncomplete:
        break;
    }
    return "alone";
}

} // namespace kingcuploom::scheduler
