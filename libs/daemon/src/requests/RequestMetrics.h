#pragma once

#include "schema/generated/link_generated.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

namespace kingcuploom::requests {

// Where a request was when its caller had gone away.
enum class AbandonedStage {
    Waiting,
    Running,
    Forwarded,
};

// Counters of the request path. Thread-safe.
class RequestMetrics {
public:
    explicit RequestMetrics(prometheus::Registry&);

    void countAnswer(const schema::AnswerT&, std::chrono::nanoseconds total);
    void countDispatch(std::chrono::nanoseconds wait);
    void countRetry() { m_retries.Increment(); }
    void countForward() { m_forwards.Increment(); }
    void countRelay() { m_relays.Increment(); }
    void countRecall() { m_recalls.Increment(); }
    void countEjection() { m_ejections.Increment(); }
    void countLateAnswer() { m_lateAnswers.Increment(); }
    void countRepeatedForward() { m_repeatedForwards.Increment(); }
    void countLostAnswer() { m_lostAnswers.Increment(); }
    void countAbandoned(AbandonedStage);
    void setOverdue(std::size_t count) { m_overdue.Set(double(count)); }
    void setCalls(std::size_t held, std::size_t forwarded);

private:
    prometheus::Family<prometheus::Counter>& m_answers;
    prometheus::Counter& m_retries;
    prometheus::Counter& m_forwards;
    prometheus::Counter& m_relays;
    prometheus::Counter& m_recalls;
    prometheus::Counter& m_ejections;
    prometheus::Counter& m_lateAnswers;
    prometheus::Counter& m_repeatedForwards;
    prometheus::Counter& m_lostAnswers;
    prometheus::Family<prometheus::Counter>& m_abandoned;
    prometheus::Gauge& m_overdue;
    prometheus::Gauge& m_heldCalls;
    prometheus::Gauge& m_forwardedCalls;
    prometheus::Histogram& m_totalTime;
    prometheus::Histogram& m_wait;
};

} // namespace kingcuploom::requests
