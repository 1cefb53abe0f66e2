#pragma once

#include "base/Ids.h"

#include <algorithm>

namespace kingcuploom {

// Processors, memory and accelerators of a VM or of a task.
struct ResourceAmounts {
    CpuMillis cpu;
    MemoryMb memory;
    Accelerators accelerators;

    bool operator==(const ResourceAmounts&) const = default;

    ResourceAmounts& operator+=(const ResourceAmounts& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    ResourceAmounts& operator-=(const ResourceAmounts& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
};

inline bool fits(const ResourceAmounts& demand, const ResourceAmounts& available)
{
    return demand.cpu <= available.cpu && demand.memory <= available.memory && demand.accelerators <= available.accelerators;
}

// The larger of both, kind by kind.
inline ResourceAmounts largerOf(const ResourceAmounts& a, const ResourceAmounts& b)
{
    return { std::max(a.cpu, b.cpu), std::max(a.memory, b.memory), std::max(a.accelerators, b.accelerators) };
}

} // namespace kingcuploom
