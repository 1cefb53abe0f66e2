#include "Summary.h"

#include <algorithm>

namespace kingcuploom::trial {

namespace {

    double percentile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        const auto index = std::min(values.size() - 1, std::size_t(share * double(values.size())));
        std::ranges::nth_element(values, values.begin() + std::ptrdiff_t(index));
        return values[index];
    }

    // Accumulates the results of the first team, which may flood, and of the other teams separately.
    class TeamSummary {
    public:
        explicit TeamSummary(const Site& site)
            : m_clientMs(site.clientMs)
        {
        }

        void count(const Request& it)
        {
            const bool isInTime = !it.isRefused && it.isAnswered && it.endedMs <= it.deadlineMs;
            if (it.team == 0) {
                ++m_floodCount;
                m_floodAnswered += isInTime;
                return;
            }
            ++m_otherCount;
            m_otherRefused += it.isRefused;
            m_otherLate += !it.isRefused && !isInTime;
            if (isInTime)
                m_otherTotals.push_back(it.endedMs - it.arrivedMs + 2 * m_clientMs);
        }

        void finish(Result& result)
        {
            result.floodAnsweredShare = m_floodAnswered / std::max(1.0, m_floodCount);
            result.otherRefusedShare = m_otherRefused / std::max(1.0, m_otherCount);
            result.otherLateShare = m_otherLate / std::max(1.0, m_otherCount);
            result.otherTotalP99 = percentile(m_otherTotals, 0.99);
        }

    private:
        double m_clientMs;
        double m_floodCount = 0;
        double m_floodAnswered = 0;
        double m_otherCount = 0;
        double m_otherRefused = 0;
        double m_otherLate = 0;
        std::vector<double> m_otherTotals;
    };

} // namespace

Result summarize(const std::vector<Request>& requests, const Site& site, const Load& load)
{
    std::vector<double> total;
    std::vector<double> wait;
    std::vector<double> refusal;
    double count = 0;
    Result result;
    TeamSummary teams(site);
    for (const auto& it : requests) {
        if (it.arrivedMs < load.warmUpSeconds * 1000)
            continue;
        ++count;
        teams.count(it);
        const bool isLate = !it.isRefused && (!it.isAnswered || it.endedMs > it.deadlineMs);
        result.lateShare += isLate;
        result.refusedShare += it.isRefused;
        result.failedShare += it.isFailed && !it.isRefused && !isLate;
        result.relayedShare += it.relays > 0;
        result.retriedShare += std::max(0, it.executions - 1);
        if (it.isRefused) {
            refusal.push_back(it.endedMs - it.arrivedMs);
            continue;
        }
        if (it.dispatchedMs >= 0)
            wait.push_back(it.dispatchedMs - it.arrivedMs);
        if (isLate || it.isFailed)
            continue;
        ++result.goodput;
        total.push_back(it.endedMs - it.arrivedMs + 2 * site.clientMs);
    }
    const double capacity = site.executors * site.slotsPerExecutor / load.meanServiceMs * (load.seconds - load.warmUpSeconds) * 1000;
    for (auto* share : { &result.lateShare, &result.refusedShare, &result.failedShare, &result.relayedShare, &result.retriedShare })
        *share /= std::max(1.0, count);
    result.goodput /= capacity;
    teams.finish(result);
    result.requests = double(requests.size());
    result.totalP50 = percentile(total, 0.5);
    result.totalP99 = percentile(total, 0.99);
    result.totalP999 = percentile(total, 0.999);
    result.waitP50 = percentile(wait, 0.5);
    result.waitP99 = percentile(wait, 0.99);
    result.waitP999 = percentile(wait, 0.999);
    result.refusalP99 = percentile(refusal, 0.99);
    return result;
}

} // namespace kingcuploom::trial
