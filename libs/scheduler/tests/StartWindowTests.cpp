#include "scheduler/StartWindow.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>
#include <vector>

using namespace kingcuploom;
using namespace kingcuploom::scheduler;

namespace {

constexpr Milliseconds timeStep { 2 };
constexpr Milliseconds orderTimeout { 350 };
constexpr unsigned maxSends = 3;
constexpr std::size_t orderBytes = 1000;
constexpr std::size_t linkBytesPerSecond = 250'000;
constexpr double linkOrdersPerSecond = static_cast<double>(linkBytesPerSecond) / orderBytes;
// A caller gives up a task that has not begun by then, and a new task takes its place in the load.
constexpr Milliseconds taskPatience { 3000 };

// A leader that sends start orders over a link of limited bandwidth. The link transmits in order and holds back what exceeds its rate, so
// that an overloaded leader sees answers after their timeout and sends the orders again (the pattern of a metastable failure).
class LinkBoundLeader {
public:
    LinkBoundLeader(std::uint64_t seed, bool hasWindow)
        : m_random(seed)
        , m_hasWindow(hasWindow)
    {
    }

    // Returns the tasks that have begun a second under this load, in tasks a second.
    double run(double load, std::chrono::seconds time)
    {
        const auto before = m_begun;
        const auto end = m_now + time;
        while (m_now < end)
            step(load);
        return static_cast<double>(m_begun - before) / static_cast<double>(time.count());
    }

private:
    struct Order {
        std::uint64_t task = 0;
        MonotonicTime sentAt;
        MonotonicTime submittedAt;
        unsigned sends = 1;
    };

    void step(double load)
    {
        m_now += timeStep;
        std::poisson_distribution<int> arrivals(load * std::chrono::duration<double>(timeStep).count());
        for (int n = arrivals(m_random); n > 0; --n)
            m_waiting.push_back({ m_nextTask++, {}, m_now });
        transmit();
        repeatUnanswered();
        sendWaiting();
        updateStartWindow(m_window, m_now);
    }

    void transmit()
    {
        m_credit = std::min(m_credit + linkBytesPerSecond * timeStep.count() / 1000, linkBytesPerSecond / 10);
        while (!m_link.empty() && m_credit >= orderBytes) {
            m_credit -= orderBytes;
            answer(m_link.front());
            m_link.pop_front();
        }
    }

    void answer(const Order& sent)
    {
        const auto it = std::ranges::find(m_unanswered, sent.task, &Order::task);
        if (it == m_unanswered.end() || it->sentAt != sent.sentAt)
            return;
        const bool isUseful = m_now - it->submittedAt < taskPatience;
        m_begun += isUseful ? 1 : 0;
        onStartAnswered(m_window, std::chrono::duration_cast<Milliseconds>(m_now - sent.sentAt));
        m_unanswered.erase(it);
    }

    void repeatUnanswered()
    {
        std::vector<Order> late;
        std::erase_if(m_unanswered, [&](const Order& it) {
            if (m_now - it.sentAt < orderTimeout)
                return false;
            late.push_back(it);
            return true;
        });
        for (auto& order : late) {
            onStartUnanswered(m_window);
            if (order.sends < maxSends) {
                ++order.sends;
                send(order);
            } else {
                // Placed again, with a new start order.
                order.sends = 1;
                m_waiting.push_back(order);
            }
        }
    }

    void sendWaiting()
    {
        // As the order of urgency does, tasks that can no longer begin in time give way to those that can.
        std::erase_if(m_waiting, [&](const Order& it) { return m_now - it.submittedAt >= taskPatience - orderTimeout; });
        while (!m_waiting.empty() && (!m_hasWindow || freeStarts(m_window) > 0)) {
            send(m_waiting.front());
            m_waiting.pop_front();
        }
    }

    void send(Order order)
    {
        order.sentAt = m_now;
        m_link.push_back(order);
        m_unanswered.push_back(order);
        onStartSent(m_window);
    }

    std::mt19937_64 m_random;
    bool m_hasWindow;
    StartWindow m_window;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::deque<Order> m_waiting;
    std::deque<Order> m_link;
    std::deque<Order> m_unanswered;
    std::size_t m_credit = 0;
    std::uint64_t m_nextTask = 1;
    std::uint64_t m_begun = 0;
};

} // namespace

TEST_CASE("Past the capacity of the leader's link, the rate of starts stays within a tenth of its peak", "[overload]")
{
    // Guards against a link that is full of repeats of orders that were answered late (link-bound leader, metastable retries).
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const double overload : { 1.2, 2.0, 4.0 }) {
            LinkBoundLeader leader(seed, true);
            leader.run(linkOrdersPerSecond * overload, std::chrono::seconds(5));
            INFO("seed " << seed << ", overload " << overload);
            CHECK(leader.run(linkOrdersPerSecond * overload, std::chrono::seconds(20)) >= 0.9 * linkOrdersPerSecond);
        }
    }
}

TEST_CASE("The rate of starts is back 5 s after an overload of the leader's link", "[overload]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        constexpr double load = linkOrdersPerSecond * 0.7;
        LinkBoundLeader leader(seed, true);
        leader.run(linkOrdersPerSecond * 4, std::chrono::seconds(20));
        leader.run(load, std::chrono::seconds(5));
        INFO("seed " << seed);
        CHECK(leader.run(load, std::chrono::seconds(10)) >= 0.95 * load);
    }
}

TEST_CASE("Without the window, the model of the leader's link shows the collapse that the window prevents", "[overload]")
{
    LinkBoundLeader leader(1, false);
    leader.run(linkOrdersPerSecond * 2, std::chrono::seconds(5));
    CHECK(leader.run(linkOrdersPerSecond * 2, std::chrono::seconds(20)) < 0.5 * linkOrdersPerSecond);
}

TEST_CASE("Silent workers do not close the window while most answers are in time")
{
    // Guards against holding back all starts because some workers are down.
    StartWindow window;
    MonotonicTime now { std::chrono::hours(1) };
    for (int interval = 0; interval < 100; ++interval) {
        for (int i = 0; i < 40; ++i) {
            onStartSent(window);
            i % 4 == 0 ? onStartUnanswered(window) : onStartAnswered(window, Milliseconds(3));
        }
        now += Milliseconds(100);
        updateStartWindow(window, now);
    }
    CHECK_FALSE(window.isCongested);
    CHECK(window.limit >= 64);
    CHECK(window.inFlight == 0);
}
