#include "requests/UnsentAnswers.h"

#include <algorithm>

namespace kingcuploom::requests {

namespace {

    // Bounds the memory: a peer's link is missing for a fraction of a second, and an answer may have 4 MB.
    constexpr std::size_t maxAnswers = 256;

} // namespace

bool UnsentAnswers::add(const DaemonId& ingress, schema::LinkMessageT&& message, MonotonicTime deadline)
{
    const std::scoped_lock lock(m_mutex);
    if (m_answers.size() >= maxAnswers)
        return false;
    m_answers.push_back({ ingress, std::move(message), deadline });
    return true;
}

std::size_t UnsentAnswers::sendAll(link::LinkHub& hub, MonotonicTime now)
{
    std::deque<Answer> answers;
    {
        const std::scoped_lock lock(m_mutex);
        answers.swap(m_answers);
    }
    const auto isLate = [&](const Answer& it) { return it.deadline <= now; };
    const auto late = std::erase_if(answers, isLate);
    std::erase_if(answers, [&](const Answer& it) { return hub.send(it.ingress, it.message).has_value(); });
    const std::scoped_lock lock(m_mutex);
    std::ranges::move(answers, std::back_inserter(m_answers));
    return std::size_t(late);
}

} // namespace kingcuploom::requests
