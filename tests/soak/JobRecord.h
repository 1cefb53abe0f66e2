#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuploom::soak {

// CPU that each task asks for.
inline constexpr int taskCpuMillis = 400;

// A job that a caller submitted, and what the caller has observed of it.
struct JobRecord {
    std::string id;
    std::string payload;
    // Number of tasks per step. A step starts after the previous step is done.
    std::vector<unsigned> counts;
    bool isLongRunning = false;
    // Each task fails at all attempts that the queue allows, or crashes each executor that starts it.
    bool isExpectedToFail = false;

    bool isAccepted = false;
    // Time of the acceptance, in microseconds of the machine's steady clock.
    std::int64_t acceptedAt = 0;
    // Every attempt to submit the job was refused.
    bool isRefused = false;
    bool isCancelSent = false;
    bool isCancelled = false;
    // Time of the acknowledgement of the cancel request, in microseconds of the machine's steady clock.
    std::int64_t cancelledAt = 0;
    std::string lastState;
    // The job is expected to fail because each of its tasks crashes the executor that starts it.
    bool crashesExecutors = false;
};

inline std::string taskName(const std::string& job, std::size_t step, unsigned index)
{
    return job + ".0." + std::to_string(step) + '.' + std::to_string(index);
}

} // namespace kingcuploom::soak
