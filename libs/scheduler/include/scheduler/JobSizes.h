#pragma once

#include "base/Clock.h"
#include "schema/generated/jobs_generated.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kingcuploom::scheduler {

// Rank of a job's declared work among the recent jobs of its queue.
enum class SizeClass {
    SmallestHalf,
    // From the median to the 70th percentile.
    UpperMiddle,
    // From the 70th to the 90th percentile.
    UpperFifth,
    LargestTenth,
};

inline constexpr std::size_t sizeClassCount = 4;

const char* toString(SizeClass);

// Returns the declared work of a job in core-milliseconds.
double computeWork(const schema::GraphJobSpecT&);

// The declared work of the recent jobs of a queue.
class WorkSample {
public:
    // Adds a job's work and returns its rank among the sample.
    SizeClass add(double work);

private:
    std::deque<double> m_recent;
    // The same values in ascending order.
    std::vector<double> m_sorted;
};

// Shares of the recent jobs of a queue that were served, which means completed while the result was of use, by size.
class ServedShares {
public:
    void add(SizeClass, bool isServed);
    // Returns true if clearly fewer of this size were served than of the whole queue.
    bool isUnderserved(SizeClass) const;

private:
    std::array<double, sizeClassCount> m_served { 1, 1, 1, 1 };
    // Numbers of recent jobs; older ones count less.
    std::array<double, sizeClassCount> m_counts {};
};

// The sizes of a queue's jobs.
struct QueueSizes {
    WorkSample sample;
    ServedShares shares;
};

// What a job with unplaced tasks waits for.
enum class WaitCause {
    // No worker has room, although the job can still be on time.
    Room,
    // No worker has room, and jobs that can still be on time go first.
    RoomWhenLate,
    // Room on the workers that the job has claimed.
    ClaimedRoom,
    // A permit of the adviser.
    Permit,
    // The delay after a failed run or a start that was not accepted, or the limit of crashes.
    Retry,
    // A trial of a task that may crash its worker.
    Trial,
    // The leader places nothing: its view is stale, or too many starts are recorded.
    LeaderHold,
};

inline constexpr std::size_t waitCauseCount = 7;

const char* toString(WaitCause);

// Time that a job has waited, by cause.
class WaitTimes {
public:
    // The job waits for this cause from now on.
    void begin(WaitCause, MonotonicTime now);
    void end(MonotonicTime now);

    bool isWaiting() const { return m_current.has_value(); }
    const std::array<Milliseconds, waitCauseCount>& spent() const { return m_spent; }

private:
    std::array<Milliseconds, waitCauseCount> m_spent {};
    std::optional<WaitCause> m_current;
    MonotonicTime m_since;
};

} // namespace kingcuploom::scheduler
