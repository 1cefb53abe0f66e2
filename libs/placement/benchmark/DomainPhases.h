#pragma once

#include "Trial.h"

#include <array>
#include <map>
#include <vector>

namespace kingcuploom::trial {

// Figures of a run before, during and after the absence of a failure domain.
class DomainPhases {
public:
    void addWork(int second, double coreSeconds);
    void addLatency(int second, double latency);
    // A task that starts in the domain, and one that is stopped there to move.
    void addStart(int second);
    void addMove(int second);

    void fill(Result&, double cores) const;

private:
    struct Phase {
        double work = 0;
        std::vector<double> latencies;
    };

    std::array<Phase, 3> m_phases;
    std::map<int, int> m_starts;
    std::map<int, int> m_moves;
};

} // namespace kingcuploom::trial
