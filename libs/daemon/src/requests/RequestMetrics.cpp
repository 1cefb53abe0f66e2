#include "requests/RequestMetrics.h"

namespace kingcuploom::requests {

namespace {

    // Seconds; from well below a hop between domains to the largest deadline.
    const prometheus::Histogram::BucketBoundaries timeBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

    prometheus::Counter& addCounter(prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Gauge& addGauge(prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Histogram& addHistogram(prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, timeBuckets);
    }

    double toSeconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

} // namespace

RequestMetrics::RequestMetrics(prometheus::Registry& registry)
    : m_answers(prometheus::BuildCounter()
                    .Name("kingcuploom_request_answers_total")
                    .Help("Answers to callers by outcome and reason of refusal.")
                    .Register(registry))
    , m_retries(addCounter(registry, "kingcuploom_request_retries_total", "Executions after a failed one of the same request."))
    , m_forwards(addCounter(registry, "kingcuploom_request_forwards_total", "Requests sent to the owner of a shard."))
    , m_relays(addCounter(registry, "kingcuploom_request_relays_total", "Requests that an owner passed on to another one."))
    , m_recalls(addCounter(registry, "kingcuploom_request_recalls_total", "Dispatches stopped because the ownership had changed."))
    , m_ejections(addCounter(registry, "kingcuploom_executor_ejections_total", "Executors taken out for failures or slowness."))
    , m_lateAnswers(addCounter(registry, "kingcuploom_request_late_answers_total", "Late, repeated or foreign answers dropped."))
    , m_repeatedForwards(addCounter(registry, "kingcuploom_request_repeated_forwards_total", "Repeated forwarded requests dropped."))
    , m_lostAnswers(addCounter(registry, "kingcuploom_request_lost_answers_total", "Answers that could not be sent to the ingress."))
    , m_abandoned(prometheus::BuildCounter()
                      .Name("kingcuploom_request_abandoned_total")
                      .Help("Requests whose caller closed its connection before the answer, by the place where they were.")
                      .Register(registry))
    , m_overdue(addGauge(registry, "kingcuploom_requests_overdue", "Executions past their deadline that still hold their slots."))
    , m_heldCalls(addGauge(registry, "kingcuploom_requests_held", "Requests that wait or run at this owner."))
    , m_forwardedCalls(addGauge(registry, "kingcuploom_requests_forwarded", "Forwarded requests without an answer yet."))
    , m_totalTime(addHistogram(registry, "kingcuploom_request_seconds", "Time from the arrival at the ingress to the answer."))
    , m_wait(addHistogram(registry, "kingcuploom_request_wait_seconds", "Time from the arrival at the owner to the dispatch."))
{
}

void RequestMetrics::countAnswer(const schema::AnswerT& answer, std::chrono::nanoseconds total)
{
    m_answers.Add({ { "outcome", schema::EnumNameOutcome(answer.outcome) }, { "reason", schema::EnumNameRefusalReason(answer.refusal) } })
        .Increment();
    m_totalTime.Observe(toSeconds(total));
}

void RequestMetrics::countDispatch(std::chrono::nanoseconds wait) { m_wait.Observe(toSeconds(wait)); }

void RequestMetrics::countAbandoned(AbandonedStage stage)
{
    constexpr const char* names[] = { "waiting", "running", "forwarded" };
    m_abandoned.Add({ { "stage", names[std::size_t(stage)] } }).Increment();
}

void RequestMetrics::setCalls(std::size_t held, std::size_t forwarded)
{
    m_heldCalls.Set(double(held));
    m_forwardedCalls.Set(double(forwarded));
}

} // namespace kingcuploom::requests
