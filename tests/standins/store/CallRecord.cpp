#include "CallRecord.h"

#include <algorithm>

namespace kingcuploom::testing {

void CallRecord::count(const std::string& kind)
{
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    const std::scoped_lock lock(m_mutex);
    auto& entry = m_kinds[kind];
    if (entry.currentSecond != now)
        entry.countInSecond = 0;
    entry.currentSecond = now;
    ++entry.total;
    entry.peakPerSecond = std::max(entry.peakPerSecond, ++entry.countInSecond);
}

http::Json CallRecord::toJson() const
{
    const std::scoped_lock lock(m_mutex);
    http::Json result(json_object());
    for (const auto& [kind, entry] : m_kinds) {
        const auto counts = json_pack("{s:I, s:I}", "total", json_int_t(entry.total), "peak_per_second", json_int_t(entry.peakPerSecond));
        json_object_set_new(result.get(), kind.c_str(), counts);
    }
    return result;
}

} // namespace kingcuploom::testing
