#include "store/Store.h"

namespace kingcuploom::store {

const char* toString(StoreErrorCode code)
{
    switch (code) {
    case StoreErrorCode::Unavailable:
        return "unavailable";
    case StoreErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case StoreErrorCode::Conflict:
        return "conflict";
    case StoreErrorCode::LeaseNotFound:
        return "lease_not_found";
    case StoreErrorCode::ValueTooLarge:
        return "value_too_large";
    case StoreErrorCode::Protocol:
        return "protocol";
    }
    return "unknown";
}

} // namespace kingcuploom::store
