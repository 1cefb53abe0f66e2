#include "base/Log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <map>
#include <memory>
#include <mutex>

namespace kingcuploom {

namespace {

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || std::ranges::any_of(value, [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\'; });
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        line += '"';
        for (const char c : value) {
            if (c == '\n') {
                line += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
                line += '\\';
            line += c;
        }
        line += '"';
    }

    log4cxx::LoggerPtr logger()
    {
        static const auto s_logger = log4cxx::Logger::getLogger("kingcuploom");
        return s_logger;
    }

    log4cxx::LevelPtr toLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    // Lines that wait for the writing thread.
    constexpr int maxWaitingLines = 4096;
    // Lines of one event name in a second. Warnings and errors have more room, because they tell of refusals and losses.
    constexpr unsigned maxRoutineLines = 50;
    constexpr unsigned maxUrgentLines = 200;

    // Limits the lines of each event name in a second.
    class LineLimiter {
    public:
        // Number of lines to report as left out before this one; nothing when this one is to be left out as well.
        bool admit(std::string_view event, LogLevel level, unsigned& leftOut)
        {
            const std::lock_guard lock(m_mutex);
            const auto second
                = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
            auto& count = m_counts[std::string(event)];
            leftOut = 0;
            if (count.second != second)
                leftOut = std::exchange(count, { second, 0, 0 }).leftOut;
            if (++count.lines <= (level >= LogLevel::Warning ? maxUrgentLines : maxRoutineLines))
                return true;
            ++count.leftOut;
            return false;
        }

    private:
        struct Count {
            std::int64_t second = 0;
            unsigned lines = 0;
            unsigned leftOut = 0;
        };
        std::mutex m_mutex;
        std::map<std::string, Count, std::less<>> m_counts;
    };

    std::atomic<LineLimiter*> limiter = nullptr;

    log4cxx::LayoutPtr layoutFor(const std::string& daemon)
    {
        return std::make_shared<log4cxx::PatternLayout>("time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p daemon=" + daemon + " %m%n");
    }

    void setAppender(const log4cxx::AppenderPtr& appender, LogLevel level)
    {
        logger()->removeAllAppenders();
        logger()->addAppender(appender);
        logger()->setAdditivity(false);
        logger()->setLevel(toLevel(level));
    }

} // namespace

void configureBoundedLogging(LogLevel level, const std::string& daemon)
{
    static LineLimiter s_lineLimiter;
    limiter = &s_lineLimiter;
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layoutFor(daemon), log4cxx::ConsoleAppender::getSystemOut());
    const auto buffered = std::make_shared<log4cxx::AsyncAppender>();
    buffered->setBufferSize(maxWaitingLines);
    buffered->setBlocking(false);
    buffered->addAppender(console);
    setAppender(buffered, level);
}

void configureLogging(LogLevel level, const std::string& daemon)
{
    setAppender(std::make_shared<log4cxx::ConsoleAppender>(layoutFor(daemon), log4cxx::ConsoleAppender::getSystemErr()), level);
}

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const auto& field : fields) {
        line += ' ' + field.key() + '=';
        if (needsQuotes(field.value()))
            appendQuoted(line, field.value());
        else
            line += field.value();
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto target = toLevel(level);
    if (!logger()->isEnabledFor(target))
        return;
    if (auto* active = limiter.load()) {
        unsigned leftOut = 0;
        const bool isAdmitted = active->admit(event, level, leftOut);
        if (leftOut > 0)
            logger()->forcedLog(target, formatLogLine("lines_left_out", { { "of", event }, { "count", leftOut } }), LOG4CXX_LOCATION);
        if (!isAdmitted)
            return;
    }
    logger()->forcedLog(target, formatLogLine(event, fields), LOG4CXX_LOCATION);
}

} // namespace kingcuploom
