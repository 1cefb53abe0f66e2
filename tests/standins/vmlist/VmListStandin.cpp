#include "VmListStandin.h"

#include <algorithm>

namespace kingcuploom::testing {

namespace {

    constexpr auto emptyList = R"({"vms":[],"daemons":[]})";

    // The body limit leaves room for the planned list of 6,800 entries of about 500 bytes each.
    constexpr http::ServerLimits limits { 1024, 16 * 1024 * 1024, 16 * 1024 };

    // Must exceed the largest lag that tests set.
    constexpr std::chrono::minutes historyRetention { 10 };

} // namespace

VmListStandin::VmListStandin()
    : m_server(limits)
{
    m_server.route("GET", "/v1/vms", [this](const auto&) { return read(); });
    m_server.route("PUT", "/admin/vms", [this](const auto& request) { return putList(request); });
    m_server.route("PUT", "/admin/faults", [this](const auto& request) { return setFaults(request); });
    m_server.route("GET", "/admin/record",
        [this](const auto&) { return jsonResponse(200, http::Json(json_pack("{s:I}", "reads", json_int_t(m_reads.load())))); });
}

void VmListStandin::setList(const std::string& json)
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    m_versions.push_back({ now, json });
    // Keeps only the newest of the versions older than the retention: a lag cannot reach any earlier one.
    while (m_versions.size() > 1 && m_versions[1].since < now - historyRetention)
        m_versions.pop_front();
}

std::string VmListStandin::getListAt(MonotonicTime time) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = std::find_if(m_versions.rbegin(), m_versions.rend(), [&](const auto& version) { return version.since <= time; });
    return it == m_versions.rend() ? emptyList : it->json;
}

http::Response VmListStandin::read()
{
    ++m_reads;
    if (m_isDown)
        return emptyResponse(503);
    return { 200, { { "Content-Type", "application/json" } }, getListAt(std::chrono::steady_clock::now() - Milliseconds(m_lagMs)) };
}

http::Response VmListStandin::putList(const http::Request& request)
{
    const auto json = http::parseJson(request.body);
    if (!json_is_array(http::field(json.get(), "vms")))
        return emptyResponse(400);
    setList(request.body);
    return emptyResponse(200);
}

http::Response VmListStandin::setFaults(const http::Request& request)
{
    const auto json = http::parseJson(request.body);
    if (!json_is_object(json.get()))
        return emptyResponse(400);
    m_lagMs = http::intField(json.get(), "lag_ms", m_lagMs);
    m_isDown = http::boolField(json.get(), "down", m_isDown);
    return emptyResponse(200);
}

} // namespace kingcuploom::testing
