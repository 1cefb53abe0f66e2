#include "Measurement.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace kingcuploom::capacity {

namespace {

    constexpr int runs = 5;

    double microsOf(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    // Processor time instead of elapsed time, because other programs may run on the machine.
    double measure(clockid_t clock, int calls, const std::function<void(int)>& call)
    {
        std::vector<double> results;
        for (int run = 0; run <= runs; ++run) {
            const auto begin = microsOf(clock);
            for (int i = 0; i < calls; ++i)
                call(run * calls + i);
            if (run > 0)
                results.push_back((microsOf(clock) - begin) / calls);
        }
        return median(results);
    }

} // namespace

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

double threadMicros() { return microsOf(CLOCK_THREAD_CPUTIME_ID); }

double microsPerCall(int calls, const std::function<void(int)>& call) { return measure(CLOCK_THREAD_CPUTIME_ID, calls, call); }

double processMicrosPerCall(int calls, const std::function<void(int)>& call) { return measure(CLOCK_PROCESS_CPUTIME_ID, calls, call); }

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace kingcuploom::capacity
