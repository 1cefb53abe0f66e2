#include "scheduler/DelayShare.h"

namespace kingcuploom::scheduler {

namespace {

    // Time after which a count is halved.
    constexpr std::chrono::minutes halfLife { 10 };

} // namespace

bool countDelayed(DelayShare& share, std::uint64_t added, const DelayLimit& limit)
{
    const auto delayed = share.delayed + added;
    if (added > 0 && delayed > limit.allowance && (delayed - limit.allowance) * 100 > share.total * limit.maxPercent)
        return false;
    share.delayed = delayed;
    return true;
}

void ageDelayShare(DelayShare& share, MonotonicTime now)
{
    if (now - share.halvedAt < halfLife)
        return;
    share.total /= 2;
    share.delayed /= 2;
    share.halvedAt = now;
}

} // namespace kingcuploom::scheduler
