#pragma once

#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace kingcuploom {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// One key=value pair of a log line. The value is quoted when it holds spaces, quotes or control characters.
class LogField {
public:
    template <typename T>
    LogField(std::string_view key, const T& value)
        : m_key(key)
    {
        std::ostringstream out;
        out << std::boolalpha << value;
        m_value = out.str();
    }

    const std::string& key() const { return m_key; }
    const std::string& value() const { return m_value; }

private:
    std::string m_key;
    std::string m_value;
};

// Sends all lines at or above the level to standard error. Call once, before the first thread starts.
void configureLogging(LogLevel, const std::string& daemon);

// The same to standard output, without ever blocking its callers: lines wait in a bounded buffer for a thread of their own, and are
// dropped and counted when it is full. For daemons under load.
void configureBoundedLogging(LogLevel, const std::string& daemon);

// Writes one line "event=NAME key=value ...". Thread-safe.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> = {});

// The text of a log line, without time and level.
std::string formatLogLine(std::string_view event, std::initializer_list<LogField>);

} // namespace kingcuploom
