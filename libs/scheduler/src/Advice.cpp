#include "scheduler/Advice.h"

#include <algorithm>

namespace kingcuploom::scheduler {

namespace {

    // The answer time grows with the number of workers in a request, and most steps need few.
    constexpr std::size_t maxWorkersPerRequest = 30;
    // The adviser processes the calls from one machine one at a time, so more requests would only queue there and be reordered.
    constexpr unsigned maxRequestsInFlight = 2;
    // Time that the commit and the delivery of a start may take after its placement.
    constexpr Milliseconds permitMargin { 250 };
    // Delay before a failed request is retried.
    constexpr Milliseconds retryDelay { 150 };

} // namespace

const char* toString(AdviceError error)
{
    switch (error) {
    case AdviceError::Busy:
        return "busy";
    case AdviceError::NoAnswer:
        return "no_answer";
    case AdviceError::Refused:
        return "refused";
    case AdviceError::Malformed:
        break;
    }
    return "malformed";
}

bool isAdvised(const State& state, const Job& job) { return getPolicy(state, job).advised; }

const Permit* findPermit(const State& state, const StepRef& step, const Worker& worker, MonotonicTime now)
{
    const auto advice = state.advice.find(step);
    if (advice == state.advice.end())
        return nullptr;
    const auto permit = advice->second.permits.find(worker.id);
    const bool isGood
        = permit != advice->second.permits.end() && permit->second.born == worker.born && permit->second.until > now + permitMargin;
    return isGood ? &permit->second : nullptr;
}

bool isBarred(const State& state, const StepRef& step, const Worker& worker)
{
    const auto advice = state.advice.find(step);
    return advice != state.advice.end() && advice->second.barred.contains(worker.id);
}

void requestAdvice(State& state, const StepRef& step, const std::vector<WorkerId>& workers, MonotonicTime now, Orders& orders)
{
    auto& advice = state.advice[step];
    if (advice.isRequestInFlight || now < advice.notBefore || workers.empty() || state.adviceRequestsInFlight >= maxRequestsInFlight)
        return;
    advice.isRequestInFlight = true;
    ++state.adviceRequestsInFlight;
    const auto count = static_cast<std::ptrdiff_t>(std::min(workers.size(), maxWorkersPerRequest));
    orders.emplace_back(AdviceOrder { step, { workers.begin(), workers.begin() + count } });
}

void onAdvice(State& state, const AdviceOrder& order, const Expected<Advice, AdviceError>& answer, MonotonicTime sentAt, MonotonicTime now,
    Orders& orders)
{
    state.adviceRequestsInFlight -= std::min(state.adviceRequestsInFlight, 1U);
    const auto it = state.advice.find(order.step);
    if (it == state.advice.end())
        return;
    auto& advice = it->second;
    advice.isRequestInFlight = false;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - sentAt);
    // Log label of the step: a run reference with index 0 and no run number.
    const auto label = toString(RunRef { { order.step.job, order.step.occurrence, order.step.step, 0 }, {} });
    if (!answer) {
        advice.notBefore = now + retryDelay;
        orders.emplace_back(
            Decision { "advice_missing", label, {}, toString(answer.error()), age, static_cast<std::int64_t>(order.workers.size()) });
        return;
    }
    std::ranges::for_each(order.workers, [&](const WorkerId& id) { advice.barred.insert(id); });
    for (const auto& [id, ticket] : answer->good) {
        advice.barred.erase(id);
        const auto* worker = findWorker(state, id);
        // The validity is counted from the sending of the request, because the answer may have been delayed.
        if (worker)
            advice.permits[id] = { ticket, worker->born, sentAt + answer->valid };
    }
    orders.emplace_back(Decision { "advice_taken", label, {}, "answered", age, static_cast<std::int64_t>(answer->good.size()) });
    if (auto* job = findJob(state, order.step.job); job && !hasEnded(*job))
        job->blockedUntil = {};
}

void dropPermit(State& state, const StepRef& step, const WorkerId& id)
{
    if (const auto it = state.advice.find(step); it != state.advice.end())
        it->second.permits.erase(id);
}

void pruneAdvice(State& state)
{
    std::erase_if(state.advice, [&](const auto& entry) { return !state.active.contains(entry.first.job); });
}

} // namespace kingcuploom::scheduler
