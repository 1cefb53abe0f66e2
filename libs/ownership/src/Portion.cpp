#include "ownership/Portion.h"

namespace kingcuploom {

int portionOf(Portion portion, int limit, int primaryPerMille)
{
    const int primary = limit * primaryPerMille / 1000;
    switch (portion) {
    case Portion::Whole:
        return limit;
    case Portion::Primary:
        return primary;
    case Portion::Reserve:
        return limit - primary;
    case Portion::None:
        break;
    }
    return 0;
}

const char* toString(Portion portion)
{
    switch (portion) {
    case Portion::None:
        return "none";
    case Portion::Reserve:
        return "reserve";
    case Portion::Primary:
        return "primary";
    case Portion::Whole:
        return "whole";
    }
    return "unknown";
}

} // namespace kingcuploom
