#include "resources/StartGate.h"

namespace kingcuploom::resources {

const char* toString(StartRefusal refusal)
{
    switch (refusal) {
    case StartRefusal::NeverConfirmed:
        return "never_confirmed";
    case StartRefusal::ConfirmationTooOld:
        return "confirmation_too_old";
    case StartRefusal::DomainOutOfService:
        break;
    }
    return "domain_out_of_service";
}

} // namespace kingcuploom::resources
