#include "resources/Checks.h"

#include <algorithm>

namespace kingcuploom::resources {

namespace {

    using Problems = std::vector<Problem>;

    template <typename Table, typename Number> struct Range {
        const char* field;
        Number Table::*member;
        std::int64_t min;
        std::int64_t max;
    };

    template <typename Table> using Uint32Range = Range<Table, std::uint32_t>;
    template <typename Table> using Int64Range = Range<Table, std::int64_t>;

    // These bounds keep sums of amounts from overflowing. They are far above any fleet and far below 2^63.
    constexpr std::int64_t maxCpuMillis = 100'000'000'000;
    constexpr std::int64_t maxMemoryMb = 1'000'000'000'000;
    constexpr std::int64_t maxAccelerators = 100'000'000;
    constexpr std::int64_t maxWorkMs = 604'800'000;

    constexpr Uint32Range<schema::ServiceSpecT> serviceRanges[] = {
        { "service.default_deadline_ms", &schema::ServiceSpecT::default_deadline_ms, 10, 60000 },
        { "service.max_in_queue", &schema::ServiceSpecT::max_in_queue, 1, 100000 },
    };
    constexpr Uint32Range<schema::TeamSpecT> teamRanges[] = {
        { "team.weight", &schema::TeamSpecT::weight, 1, 10000 },
    };
    constexpr Int64Range<schema::TeamSpecT> teamAmountRanges[] = {
        { "team.cpu_millis", &schema::TeamSpecT::cpu_millis, 0, maxCpuMillis },
        { "team.memory_mb", &schema::TeamSpecT::memory_mb, 0, maxMemoryMb },
        { "team.accelerators", &schema::TeamSpecT::accelerators, 0, maxAccelerators },
    };
    constexpr Uint32Range<schema::PolicySpecT> policyRanges[] = {
        { "policy.tail_latency_weight", &schema::PolicySpecT::tail_latency_weight, 0, 1000 },
        { "policy.throughput_weight", &schema::PolicySpecT::throughput_weight, 0, 1000 },
        { "policy.eviction_weight", &schema::PolicySpecT::eviction_weight, 0, 1000 },
        { "policy.evictions_per_minute", &schema::PolicySpecT::evictions_per_minute, 0, 10000 },
        { "policy.moves_per_minute", &schema::PolicySpecT::moves_per_minute, 0, 10000 },
    };
    constexpr Uint32Range<schema::JobSpecT> jobRanges[] = {
        { "task_count", &schema::JobSpecT::task_count, 1, maxTasksPerJob },
        { "work_ms", &schema::JobSpecT::work_ms, 1, maxWorkMs },
        { "max_attempts", &schema::JobSpecT::max_attempts, 1, 1000 },
    };
    constexpr Int64Range<schema::JobSpecT> jobAmountRanges[] = {
        { "cpu_millis", &schema::JobSpecT::cpu_millis, 1, 1'024'000 },
        { "memory_mb", &schema::JobSpecT::memory_mb, 1, 16'777'216 },
        { "accelerators", &schema::JobSpecT::accelerators, 0, 64 },
    };

    template <typename Table, typename Ranges> void checkRanges(Problems& problems, const Table& table, const Ranges& ranges)
    {
        for (const auto& range : ranges) {
            const auto value = static_cast<std::int64_t>(table.*range.member);
            if (value < range.min || value > range.max)
                problems.push_back({ ProblemCode::OutOfRange, range.field, std::to_string(value),
                    std::to_string(range.min) + " to " + std::to_string(range.max) });
        }
    }

    void checkName(Problems& problems, const char* field, const std::string& name)
    {
        if (!isValidName(name))
            problems.push_back({ ProblemCode::NameMalformed, field, name.substr(0, 2 * maxNameLength),
                "1 to 63 characters of [a-z0-9-], neither first nor last '-'" });
    }

    void checkTeam(Problems& problems, const char* field, const std::string& team, const std::set<TeamName>& teams)
    {
        if (!teams.contains(TeamName(team)))
            problems.push_back({ ProblemCode::TeamUnknown, field, team.substr(0, 2 * maxNameLength), "the name of a declared team" });
    }

    struct Specification {
        schema::ResourceKind kind;
        const char* field;
        bool isPresent;
    };

    void checkSpecifications(Problems& problems, const schema::ResourceT& resource)
    {
        const Specification specifications[] = {
            { schema::ResourceKind::Service, "service", bool(resource.service) },
            { schema::ResourceKind::FailureDomain, "failure_domain", bool(resource.failure_domain) },
            { schema::ResourceKind::Team, "team", bool(resource.team) },
            { schema::ResourceKind::Policy, "policy", bool(resource.policy) },
        };
        for (const auto& specification : specifications) {
            const bool isOfKind = specification.kind == resource.kind;
            if (isOfKind && !specification.isPresent)
                problems.push_back(
                    { ProblemCode::SpecificationMissing, specification.field, "", "an object, because the kind requires it" });
            if (!isOfKind && specification.isPresent)
                problems.push_back({ ProblemCode::SpecificationNotOfKind, specification.field, "present",
                    std::string("absent in a resource of kind ") + toString(resource.kind) });
        }
    }

    void checkDomain(Problems& problems, const schema::FailureDomainSpecT& spec)
    {
        if (spec.reason.size() > maxReasonLength)
            problems.push_back({ ProblemCode::TextTooLong, "failure_domain.reason", std::to_string(spec.reason.size()) + " bytes",
                "at most " + std::to_string(maxReasonLength) + " bytes" });
        if (spec.state == schema::DomainState::OutOfService && spec.reason.empty())
            problems.push_back(
                { ProblemCode::ReasonMissing, "failure_domain.reason", "", "a reason, because the failure domain is out of service" });
    }

    void checkPolicy(Problems& problems, const schema::ResourceT& resource)
    {
        if (resource.name != policyName)
            problems.push_back({ ProblemCode::NameMalformed, "name", resource.name.substr(0, 2 * maxNameLength), policyName });
        checkRanges(problems, *resource.policy, policyRanges);
        const auto& policy = *resource.policy;
        if (policy.tail_latency_weight + policy.throughput_weight + policy.eviction_weight == 0)
            problems.push_back({ ProblemCode::OutOfRange, "policy.tail_latency_weight", "0", "at least one of the three weights above 0" });
    }

} // namespace

const char* toString(ProblemCode code)
{
    switch (code) {
    case ProblemCode::NameMalformed:
        return "name_malformed";
    case ProblemCode::OutOfRange:
        return "out_of_range";
    case ProblemCode::SpecificationMissing:
        return "specification_missing";
    case ProblemCode::SpecificationNotOfKind:
        return "specification_not_of_kind";
    case ProblemCode::TeamUnknown:
        return "team_unknown";
    case ProblemCode::ReasonMissing:
        return "reason_missing";
    case ProblemCode::TextTooLong:
        return "text_too_long";
    case ProblemCode::FieldReserved:
        return "field_reserved";
    case ProblemCode::StillInUse:
        break;
    }
    return "still_in_use";
}

bool isValidName(std::string_view name)
{
    const auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    if (name.empty() || name.size() > maxNameLength)
        return false;
    return std::ranges::all_of(name, isAllowed) && name.front() != '-' && name.back() != '-';
}

std::vector<Problem> checkResource(const schema::ResourceT& resource, const std::set<TeamName>& teams)
{
    Problems problems;
    checkName(problems, "name", resource.name);
    checkSpecifications(problems, resource);
    if (resource.deleted)
        problems.push_back({ ProblemCode::FieldReserved, "deleted", "true", "false; use the removal to delete a resource" });
    if (resource.service) {
        checkTeam(problems, "service.team", resource.service->team, teams);
        checkRanges(problems, *resource.service, serviceRanges);
    }
    if (resource.failure_domain)
        checkDomain(problems, *resource.failure_domain);
    if (resource.team) {
        checkRanges(problems, *resource.team, teamRanges);
        checkRanges(problems, *resource.team, teamAmountRanges);
    }
    if (resource.policy && resource.kind == schema::ResourceKind::Policy)
        checkPolicy(problems, resource);
    return problems;
}

std::vector<Problem> checkJobSpec(const schema::JobSpecT& spec, const std::set<TeamName>& teams)
{
    Problems problems;
    checkName(problems, "name", spec.name);
    checkTeam(problems, "team", spec.team, teams);
    if (!spec.class_name.empty())
        checkName(problems, "class_name", spec.class_name);
    checkRanges(problems, spec, jobRanges);
    checkRanges(problems, spec, jobAmountRanges);
    return problems;
}

std::vector<Problem> checkRemoval(const ResourceKey& key, const ResourceTable& table)
{
    Problems problems;
    const auto* stored = findResource(table, key);
    if (!stored)
        return problems;
    // An undeclared failure domain counts as in service, so removing this one would silently start work there again.
    const auto& domain = stored->resource->failure_domain;
    if (domain && domain->state == schema::DomainState::OutOfService)
        problems.push_back(
            { ProblemCode::StillInUse, "failure_domain.state", "OutOfService", "InService; restore the failure domain first" });
    if (key.kind != schema::ResourceKind::Team)
        return problems;
    for (const auto& [other, entry] : table.entries) {
        const auto& service = entry.resource->service;
        if (!entry.resource->deleted && service && service->team == key.name)
            problems.push_back(
                { ProblemCode::StillInUse, toString(other), key.name, "no service of this team; change or delete it first" });
    }
    return problems;
}

} // namespace kingcuploom::resources
