#include "schema/SettingsCheck.h"

#include "schema/Guards.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace kingcuploom::schema {

namespace {

    struct Range {
        const char* field;
        std::uint32_t SettingsT::*member;
        std::uint32_t low;
        std::uint32_t high;
    };

    constexpr Range ranges[] = {
        { "store_timeout_ms", &SettingsT::store_timeout_ms, 50, 10000 },
        { "store_lease_ms", &SettingsT::store_lease_ms, 1000, 60000 },
        { "lease_margin_ms", &SettingsT::lease_margin_ms, 50, 10000 },
        { "config_poll_ms", &SettingsT::config_poll_ms, 50, 2000 },
        { "config_max_age_ms", &SettingsT::config_max_age_ms, 200, 3000 },
        { "vm_list_poll_ms", &SettingsT::vm_list_poll_ms, 50, 2000 },
        { "rack_groups_per_domain", &SettingsT::rack_groups_per_domain, 0, 256 },
        { "heartbeat_ms", &SettingsT::heartbeat_ms, 10, 1000 },
        { "primary_share_per_mille", &SettingsT::primary_share_per_mille, 500, 1000 },
        { "default_deadline_ms", &SettingsT::default_deadline_ms, 10, 60000 },
        { "max_deadline_ms", &SettingsT::max_deadline_ms, 10, 60000 },
        { "max_body_bytes", &SettingsT::max_body_bytes, 1024, 3 * 1024 * 1024 },
        { "max_header_bytes", &SettingsT::max_header_bytes, 1024, 262144 },
        { "max_caller_connections", &SettingsT::max_caller_connections, 1, 20000 },
        { "caller_idle_timeout_ms", &SettingsT::caller_idle_timeout_ms, 1000, 600000 },
        { "caller_receive_timeout_ms", &SettingsT::caller_receive_timeout_ms, 100, 600000 },
        { "queue_limit_per_service", &SettingsT::queue_limit_per_service, 1, 100000 },
        { "retry_budget_per_mille", &SettingsT::retry_budget_per_mille, 0, 1000 },
        { "max_ejected_per_mille", &SettingsT::max_ejected_per_mille, 0, 900 },
        { "task_lease_ms", &SettingsT::task_lease_ms, 1000, 120000 },
        { "worker_sync_ms", &SettingsT::worker_sync_ms, 50, 10000 },
        { "ledger_commit_ms", &SettingsT::ledger_commit_ms, 10, 5000 },
        { "job_retention_ms", &SettingsT::job_retention_ms, 1000, 604800000 },
        { "trace_events", &SettingsT::trace_events, 0, 1000000 },
        { "shutdown_limit_ms", &SettingsT::shutdown_limit_ms, 1000, 300000 },
    };

    // "small" must be less than "large"; each names a field of the settings.
    struct Relation {
        const char* small;
        std::uint32_t SettingsT::*smallMember;
        const char* large;
        std::uint32_t SettingsT::*largeMember;
    };

    constexpr Relation relations[] = {
        { "lease_margin_ms", &SettingsT::lease_margin_ms, "store_lease_ms", &SettingsT::store_lease_ms },
        { "store_timeout_ms", &SettingsT::store_timeout_ms, "store_lease_ms", &SettingsT::store_lease_ms },
        { "config_poll_ms", &SettingsT::config_poll_ms, "config_max_age_ms", &SettingsT::config_max_age_ms },
        { "worker_sync_ms", &SettingsT::worker_sync_ms, "task_lease_ms", &SettingsT::task_lease_ms },
        { "max_deadline_ms", &SettingsT::max_deadline_ms, "caller_idle_timeout_ms", &SettingsT::caller_idle_timeout_ms },
        { "max_deadline_ms", &SettingsT::max_deadline_ms, "shutdown_limit_ms", &SettingsT::shutdown_limit_ms },
    };

    void requireText(std::vector<SettingsProblem>& problems, const char* field, const std::string& value)
    {
        if (value.empty())
            problems.push_back({ field, "", "a non-empty text" });
    }

    bool isNumericHost(const std::string& host)
    {
        in6_addr buf {};
        if (host.starts_with('[') && host.ends_with(']'))
            return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &buf) == 1;
        return inet_pton(AF_INET, host.c_str(), &buf) == 1;
    }

    // "host:port" or "[host]:port" with a numeric host.
    bool isNumericAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        if (colon == std::string::npos || !isNumericHost(address.substr(0, colon)))
            return false;
        std::uint16_t port = 0;
        const auto* end = address.data() + address.size();
        const auto [rest, ec] = std::from_chars(address.data() + colon + 1, end, port);
        return ec == std::errc() && rest == end && port > 0;
    }

} // namespace

std::vector<SettingsProblem> checkSettings(const SettingsT& settings)
{
    std::vector<SettingsProblem> problems;
    requireText(problems, "daemon_id", settings.daemon_id);
    requireText(problems, "failure_domain", settings.failure_domain);
    requireText(problems, "host", settings.host);
    requireText(problems, "operator_key", settings.operator_key);
    requireText(problems, "link_key", settings.link_key);
    requireText(problems, "vm_list_url", settings.vm_list_url);
    const auto& advertised = settings.link_advertised_address;
    if (!advertised.empty() && !isNumericAddress(advertised))
        problems.push_back({ "link_advertised_address", advertised, "empty or a numeric host:port" });
    if (settings.store_urls.empty())
        problems.push_back({ "store_urls", "[]", "at least one URL" });
    for (const auto& range : ranges) {
        const auto value = settings.*range.member;
        if (value < range.low || value > range.high)
            problems.push_back({ range.field, std::to_string(value), std::to_string(range.low) + " to " + std::to_string(range.high) });
    }
    for (const auto& relation : relations) {
        const auto small = settings.*relation.smallMember;
        const auto large = settings.*relation.largeMember;
        if (small >= large)
            problems.push_back(
                { relation.small, std::to_string(small), std::string("less than ") + relation.large + " (" + std::to_string(large) + ")" });
    }
    // A successor may claim after this time (docs/design.md, section 4.2, rule 3); it then still has to renew the leases of the tasks.
    const auto takeoverTime = settings.store_lease_ms + settings.max_deadline_ms + 2 * settings.lease_margin_ms;
    if (settings.task_lease_ms <= takeoverTime + settings.worker_sync_ms)
        problems.push_back({ "task_lease_ms", std::to_string(settings.task_lease_ms),
            "more than store_lease_ms + max_deadline_ms + 2 * lease_margin_ms + worker_sync_ms ("
                + std::to_string(takeoverTime + settings.worker_sync_ms) + ")" });
    if (settings.default_deadline_ms > settings.max_deadline_ms)
        problems.push_back({ "default_deadline_ms", std::to_string(settings.default_deadline_ms), "at most max_deadline_ms" });
    for (const auto& name : settings.test_faults) {
        if (!parseGuard(name))
            problems.push_back({ "test_faults", name, "names of guards, see schema/Guards.h" });
    }
    return problems;
}

} // namespace kingcuploom::schema
