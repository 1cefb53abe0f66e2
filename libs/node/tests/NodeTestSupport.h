#pragma once

#include "FakeAsyncStore.h"
#include "node/Formats.h"
#include "node/WorkerCalls.h"

#include <chrono>
#include <vector>

namespace kingcuploom::node::test {

inline constexpr Milliseconds testTimeout { 5000 };

inline schema::GraphJobSpecT makeSpec(const std::string& id)
{
    schema::GraphJobSpecT spec;
    spec.job = id;
    spec.queue = "host/queue/";
    spec.policy = std::make_unique<schema::QueuePolicyT>();
    return spec;
}

// Runs the loop until the condition holds or the test timeout has passed.
inline bool runUntil(boost::asio::io_context& loop, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(Milliseconds(2));
    }
    return condition();
}

inline Formats makeFormats()
{
    Formats formats;
    formats.operatorPrefix = "op/";
    formats.decodeOperator = [](const std::string& key, const std::string& value) -> Expected<OperatorDocument, FormatError> {
        if (key != "op/config")
            return OperatorDocument(DomainClosure { FailureDomain(value) });
        if (value.empty())
            return makeUnexpected(FormatError::NotReadable);
        Configuration configuration;
        configuration.version = std::stoll(value);
        return OperatorDocument(configuration);
    };
    formats.workerPrefix = "worker/";
    formats.parseWorkerId = [](const std::string& key) { return scheduler::WorkerId(key); };
    formats.decodeWorker = [](const std::string& key, const std::string& value) -> Expected<scheduler::WorkerEntry, FormatError> {
        if (value == "odd")
            return makeUnexpected(FormatError::NotReadable);
        scheduler::WorkerEntry entry;
        entry.id = scheduler::WorkerId(key);
        entry.born = scheduler::IncarnationTime(value.empty() ? 1 : std::stoll(value));
        entry.service = ServiceName("service");
        entry.address = Address("10.0.0.1:1");
        entry.capacity = { 1000, 1000, 0 };
        return entry;
    };
    return formats;
}

// Workers that answer polls at once, confirm each start and list what they have started; keeps the start messages. Without an address, a
// worker is not reached.
class FakeWorkerCalls final : public WorkerCalls {
public:
    explicit FakeWorkerCalls(boost::asio::io_context& loop)
        : m_loop(loop)
    {
    }

    std::vector<StartMessage> starts;
    std::vector<scheduler::RunRef> stops;
    Revision lastPollFence;
    // Number of next starts that are carried out without an answer.
    int answersToLose = 0;
    // Each run ends as done before the next poll.
    bool endsRuns = false;

    void start(const WorkerTarget& target, const StartMessage& message, std::function<void(scheduler::StartResult)> callback) override
    {
        starts.push_back(message);
        m_running[target.id].push_back({ message.run, {}, 50, 100 });
        const bool isAnswerLost = answersToLose > 0;
        answersToLose -= isAnswerLost ? 1 : 0;
        const auto result = isAnswerLost ? scheduler::StartResult::NoAnswer : scheduler::StartResult::Started;
        boost::asio::post(m_loop, [callback, result] { callback(result); });
    }

    void stop(
        const WorkerTarget& target, const scheduler::RunRef& run, Revision, std::function<void(scheduler::StopResult)> callback) override
    {
        if (target.address.empty())
            return boost::asio::post(m_loop, [callback] { callback(scheduler::StopResult::NoAnswer); });
        stops.push_back(run);
        std::erase_if(m_running[target.id], [&](const scheduler::ListedRun& it) { return it.run == run; });
        boost::asio::post(m_loop, [callback] { callback(scheduler::StopResult::Accepted); });
    }

    void poll(const WorkerTarget& target, const PollMessage& message,
        std::function<void(Expected<scheduler::PollReport, scheduler::PollFailure>)> callback) override
    {
        lastPollFence = message.fence;
        auto& ends = m_ends[target.id];
        std::erase_if(ends, [&](const scheduler::ListedEnd& it) { return it.number <= message.acknowledgedEnd; });
        if (endsRuns) {
            for (const auto& it : std::exchange(m_running[target.id], {}))
                ends.push_back({ scheduler::EndNumber(++m_lastEnd), it.run, scheduler::EndKind::Done, {} });
        }
        const scheduler::PollReport report { scheduler::IncarnationTime(1), 1, m_running[target.id], ends };
        boost::asio::post(m_loop, [callback, report] { callback(report); });
    }

    void pace(const WorkerTarget&, const scheduler::RunRef&, int, Revision, std::function<void(bool)> callback) override
    {
        boost::asio::post(m_loop, [callback] { callback(true); });
    }

private:
    boost::asio::io_context& m_loop;
    std::map<scheduler::WorkerId, std::vector<scheduler::ListedRun>> m_running;
    std::map<scheduler::WorkerId, std::vector<scheduler::ListedEnd>> m_ends;
    std::int64_t m_lastEnd = 0;
};

} // namespace kingcuploom::node::test
