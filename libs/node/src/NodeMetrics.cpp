#include "node/NodeMetrics.h"

#ifndef KC_WITHOUT_METRICS

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace kingcuploom::node {

namespace {

    // In seconds; the range covers store calls as well as the longest jobs.
    prometheus::Histogram::BucketBoundaries latencyBuckets() { return { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60 }; }

    double seconds(Milliseconds time) { return static_cast<double>(time.count()) / 1000; }

    prometheus::Family<prometheus::Histogram>& histogram(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

} // namespace

struct NodeMetrics::State {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& decisions
        = prometheus::BuildCounter().Name("kingcuploom_decisions_total").Help("Decisions of the scheduler").Register(registry);
    prometheus::Family<prometheus::Histogram>& requests
        = histogram(registry, "kingcuploom_request_duration_seconds", "Time of answers to callers");
    prometheus::Family<prometheus::Histogram>& commits
        = histogram(registry, "kingcuploom_commit_duration_seconds", "Time of commits of job progress");
    prometheus::Family<prometheus::Histogram>& firstStarts
        = histogram(registry, "kingcuploom_first_start_delay_seconds", "From first sight of a job to its first start");
    prometheus::Family<prometheus::Histogram>& jobs
        = histogram(registry, "kingcuploom_job_duration_seconds", "From the acceptance of a job to its end");
    prometheus::Family<prometheus::Histogram>& heldJobs
        = histogram(registry, "kingcuploom_job_held_seconds", "From the end of a held job until callers see it");
    prometheus::Family<prometheus::Histogram>& takeovers
        = histogram(registry, "kingcuploom_takeover_duration_seconds", "From winning the term to scheduling");
    prometheus::Family<prometheus::Histogram>& loopDelays
        = histogram(registry, "kingcuploom_loop_delay_seconds", "Delay of the event loop's timers beyond their due time");
    prometheus::Family<prometheus::Histogram>& vacancies
        = histogram(registry, "kingcuploom_leader_vacancy_seconds", "Time without a leader before this node took a term");
    prometheus::Family<prometheus::Gauge>& watchAges = prometheus::BuildGauge()
                                                           .Name("kingcuploom_watch_age_seconds")
                                                           .Help("Age of the leader's view of a watched prefix")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter>& jobEnds
        = prometheus::BuildCounter().Name("kingcuploom_job_ends_total").Help("Ended jobs by queue, size and outcome").Register(registry);
    prometheus::Family<prometheus::Counter>& waits = prometheus::BuildCounter()
                                                         .Name("kingcuploom_job_wait_seconds_total")
                                                         .Help("Time that jobs which were not on time have waited, by cause")
                                                         .Register(registry);
    prometheus::Family<prometheus::Gauge>& openJobs = prometheus::BuildGauge()
                                                          .Name("kingcuploom_open_jobs")
                                                          .Help("Jobs that have not ended, as this node knows as leader")
                                                          .Register(registry);
    prometheus::Gauge& idleStandingTasks = prometheus::BuildGauge()
                                               .Name("kingcuploom_idle_standing_tasks")
                                               .Help("Standing tasks that no worker executes, as this node knows as leader")
                                               .Register(registry)
                                               .Add({});
    prometheus::Gauge& unstoredCancellations = prometheus::BuildGauge()
                                                   .Name("kingcuploom_unstored_cancellations")
                                                   .Help("Markers of cancelled jobs that are not stored, as this node knows as leader")
                                                   .Register(registry)
                                                   .Add({});
    prometheus::Gauge& leading
        = prometheus::BuildGauge().Name("kingcuploom_leading").Help("1 while this node leads").Register(registry).Add({});

    void observe(prometheus::Family<prometheus::Histogram>& family, const std::map<std::string, std::string>& labels, Milliseconds time)
    {
        family.Add(labels, latencyBuckets()).Observe(seconds(time));
    }
};

NodeMetrics::NodeMetrics()
    : m_state(std::make_unique<State>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::countDecision(const std::string& event, const std::string& reason)
{
    m_state->decisions.Add({ { "event", event }, { "reason", reason } }).Increment();
}

void NodeMetrics::observeRequest(const std::string& method, const std::string& status, Milliseconds elapsed)
{
    m_state->observe(m_state->requests, { { "method", method }, { "status", status } }, elapsed);
}

void NodeMetrics::observeCommit(const std::string& outcome, Milliseconds elapsed)
{
    m_state->observe(m_state->commits, { { "outcome", outcome } }, elapsed);
}

void NodeMetrics::observeFirstStart(Milliseconds time) { m_state->observe(m_state->firstStarts, {}, time); }

void NodeMetrics::observeJob(const std::string& state, Milliseconds time) { m_state->observe(m_state->jobs, { { "state", state } }, time); }

void NodeMetrics::observeHeldJob(Milliseconds time) { m_state->observe(m_state->heldJobs, {}, time); }

void NodeMetrics::observeTakeover(Milliseconds time) { m_state->observe(m_state->takeovers, {}, time); }

void NodeMetrics::observeLoopDelay(Milliseconds time) { m_state->observe(m_state->loopDelays, {}, time); }

void NodeMetrics::observeVacancy(Milliseconds time) { m_state->observe(m_state->vacancies, {}, time); }

void NodeMetrics::setWatchAge(const std::string& watch, Milliseconds age)
{
    m_state->watchAges.Add({ { "watch", watch } }).Set(seconds(age));
}

void NodeMetrics::setIdleStandingTasks(std::size_t count) { m_state->idleStandingTasks.Set(static_cast<double>(count)); }

void NodeMetrics::setUnstoredCancellations(std::size_t count) { m_state->unstoredCancellations.Set(static_cast<double>(count)); }

void NodeMetrics::countJobEnd(const std::string& queue, const std::string& size, EndOutcome outcome)
{
    m_state->jobEnds.Add({ { "queue", queue }, { "size", size }, { "outcome", toString(outcome) } }).Increment();
}

void NodeMetrics::addWait(const std::string& queue, const std::string& size, const std::string& cause, Milliseconds time)
{
    m_state->waits.Add({ { "queue", queue }, { "size", size }, { "cause", cause } }).Increment(seconds(time));
}

void NodeMetrics::setWaitingJobs(const std::string& queue, const std::string& size, std::uint64_t begun, std::uint64_t notBegun)
{
    m_state->openJobs.Add({ { "queue", queue }, { "size", size }, { "state", "begun" } }).Set(static_cast<double>(begun));
    m_state->openJobs.Add({ { "queue", queue }, { "size", size }, { "state", "not_begun" } }).Set(static_cast<double>(notBegun));
}

void NodeMetrics::setLeading(bool isLeading) { m_state->leading.Set(isLeading ? 1 : 0); }

std::string NodeMetrics::serialize() const { return prometheus::TextSerializer().Serialize(m_state->registry.Collect()); }

} // namespace kingcuploom::node

#else

namespace kingcuploom::node {

struct NodeMetrics::State { };

NodeMetrics::NodeMetrics() = default;
NodeMetrics::~NodeMetrics() = default;
void NodeMetrics::countDecision(const std::string&, const std::string&) { }
void NodeMetrics::observeRequest(const std::string&, const std::string&, Milliseconds) { }
void NodeMetrics::observeCommit(const std::string&, Milliseconds) { }
void NodeMetrics::observeFirstStart(Milliseconds) { }
void NodeMetrics::observeJob(const std::string&, Milliseconds) { }
void NodeMetrics::observeHeldJob(Milliseconds) { }
void NodeMetrics::observeTakeover(Milliseconds) { }
void NodeMetrics::observeLoopDelay(Milliseconds) { }
void NodeMetrics::setIdleStandingTasks(std::size_t) { }
void NodeMetrics::setUnstoredCancellations(std::size_t) { }
void NodeMetrics::countJobEnd(const std::string&, const std::string&, EndOutcome) { }
void NodeMetrics::addWait(const std::string&, const std::string&, const std::string&, Milliseconds) { }
void NodeMetrics::setWaitingJobs(const std::string&, const std::string&, std::uint64_t, std::uint64_t) { }
void NodeMetrics::setLeading(bool) { }
void NodeMetrics::setWatchAge(const std::string&, Milliseconds) { }
void NodeMetrics::observeVacancy(Milliseconds) { }
std::string NodeMetrics::serialize() const { return {}; }

} // namespace kingcuploom::node

#endif
