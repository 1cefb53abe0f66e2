#pragma once

#include <functional>
#include <string>
#include <vector>

namespace kingcuploom::capacity {

struct Figure {
    std::string section;
    // key=value pairs of what was varied.
    std::string parameters;
    std::string quantity;
    double value = 0;
    std::string unit;
};
using Figures = std::vector<Figure>;

double median(std::vector<double>);

// Processor time of the calling thread so far, in microseconds.
double threadMicros();

// Processor time of the calling thread per call, in microseconds; the median of several runs, after one run that is not counted.
double microsPerCall(int calls, const std::function<void(int)>& call);

// Processor time of all threads of this process per call, in microseconds; as above.
double processMicrosPerCall(int calls, const std::function<void(int)>& call);

// Bytes that the allocator has handed out to this process.
double heapBytes();

// Heap bytes that the value returned by the function holds.
template <typename Build> double heldBytes(const Build& build)
{
    const auto before = heapBytes();
    const auto value = build();
    return heapBytes() - before;
}

} // namespace kingcuploom::capacity
