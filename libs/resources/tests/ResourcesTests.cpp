#include "resources/ChangeHistory.h"
#include "resources/Checks.h"
#include "resources/StartGate.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace kingcuploom;
using namespace kingcuploom::resources;
using schema::ResourceKind;

namespace {

const std::set<TeamName> teams { TeamName("glaze") };

schema::ResourceT makeResource(ResourceKind kind, const std::string& name)
{
    schema::ResourceT resource;
    resource.kind = kind;
    resource.name = name;
    if (kind == ResourceKind::Service) {
        resource.service = std::make_unique<schema::ServiceSpecT>();
        resource.service->team = "glaze";
    }
    if (kind == ResourceKind::FailureDomain)
        resource.failure_domain = std::make_unique<schema::FailureDomainSpecT>();
    if (kind == ResourceKind::Team)
        resource.team = std::make_unique<schema::TeamSpecT>();
    if (kind == ResourceKind::Policy)
        resource.policy = std::make_unique<schema::PolicySpecT>();
    return resource;
}

schema::JobSpecT makeJobSpec(const std::string& name)
{
    schema::JobSpecT spec;
    spec.name = name;
    spec.team = "glaze";
    return spec;
}

Change makeChange(ResourceKind kind, const std::string& name, int revision)
{
    return { Revision(revision), { kind, name }, std::make_shared<const schema::ResourceT>(makeResource(kind, name)) };
}

std::vector<ProblemCode> getProblemCodes(const std::vector<Problem>& problems)
{
    std::vector<ProblemCode> codes;
    std::ranges::transform(problems, std::back_inserter(codes), &Problem::code);
    return codes;
}

// Checks that both ends of a range are accepted and that the values just outside are refused with the name of the field.
template <typename Number, typename Check>
void checkRange(Number& member, std::int64_t min, std::int64_t max, const char* field, Check check)
{
    const auto original = member;
    const auto isRefused = [&](std::int64_t value) {
        member = static_cast<Number>(value);
        const auto problems = check();
        return std::ranges::any_of(problems, [&](const Problem& p) { return p.code == ProblemCode::OutOfRange && p.field == field; });
    };
    INFO(field);
    CHECK_FALSE(isRefused(min));
    CHECK_FALSE(isRefused(max));
    CHECK(isRefused(max + 1));
    if (min > 0 || std::is_signed_v<Number>)
        CHECK(isRefused(min - 1));
    member = original;
}

} // namespace

TEST_CASE("a name that cannot be part of a store key or path is refused")
{
    for (const auto* name : { "a", "north-1", "0", "a--b" })
        CHECK(isValidName(name));
    for (const auto* name : { "", "-a", "a-", "A", "a_b", "a/b", "a.b", "a b", "ä" })
        CHECK_FALSE(isValidName(name));
    CHECK(isValidName(std::string(63, 'a')));
    CHECK_FALSE(isValidName(std::string(64, 'a')));
}

TEST_CASE("each value outside of its range is refused")
{
    auto service = makeResource(ResourceKind::Service, "proof");
    const auto checkService = [&] { return checkResource(service, teams); };
    checkRange(service.service->default_deadline_ms, 10, 60000, "service.default_deadline_ms", checkService);
    checkRange(service.service->max_in_queue, 1, 100000, "service.max_in_queue", checkService);

    auto team = makeResource(ResourceKind::Team, "glaze");
    const auto checkTeam = [&] { return checkResource(team, teams); };
    checkRange(team.team->weight, 1, 10000, "team.weight", checkTeam);
    checkRange(team.team->cpu_millis, 0, 100'000'000'000, "team.cpu_millis", checkTeam);
    checkRange(team.team->memory_mb, 0, 1'000'000'000'000, "team.memory_mb", checkTeam);
    checkRange(team.team->accelerators, 0, 100'000'000, "team.accelerators", checkTeam);

    auto policy = makeResource(ResourceKind::Policy, "default");
    const auto checkPolicy = [&] { return checkResource(policy, teams); };
    checkRange(policy.policy->tail_latency_weight, 0, 1000, "policy.tail_latency_weight", checkPolicy);
    checkRange(policy.policy->throughput_weight, 0, 1000, "policy.throughput_weight", checkPolicy);
    checkRange(policy.policy->eviction_weight, 0, 1000, "policy.eviction_weight", checkPolicy);
    checkRange(policy.policy->evictions_per_minute, 0, 10000, "policy.evictions_per_minute", checkPolicy);
    checkRange(policy.policy->moves_per_minute, 0, 10000, "policy.moves_per_minute", checkPolicy);

    auto job = makeJobSpec("festival");
    const auto checkJob = [&] { return checkJobSpec(job, teams); };
    checkRange(job.task_count, 1, maxTasksPerJob, "task_count", checkJob);
    checkRange(job.work_ms, 1, 604'800'000, "work_ms", checkJob);
    checkRange(job.max_attempts, 1, 1000, "max_attempts", checkJob);
    checkRange(job.cpu_millis, 1, 1'024'000, "cpu_millis", checkJob);
    checkRange(job.memory_mb, 1, 16'777'216, "memory_mb", checkJob);
    checkRange(job.accelerators, 0, 64, "accelerators", checkJob);
}

TEST_CASE("all problems of a resource are reported together")
{
    auto resource = makeResource(ResourceKind::Service, "Proof");
    resource.service->team = "nobody";
    resource.service->max_in_queue = 0;
    resource.team = std::make_unique<schema::TeamSpecT>();
    const auto codes = getProblemCodes(checkResource(resource, teams));
    const std::vector expected { ProblemCode::NameMalformed, ProblemCode::SpecificationNotOfKind, ProblemCode::TeamUnknown,
        ProblemCode::OutOfRange };
    CHECK(codes == expected);
}

TEST_CASE("a resource without the specification of its kind is refused")
{
    for (const auto kind : { ResourceKind::Service, ResourceKind::FailureDomain, ResourceKind::Team, ResourceKind::Policy }) {
        CHECK(checkResource(makeResource(kind, "default"), teams).empty());
        schema::ResourceT empty;
        empty.kind = kind;
        empty.name = "default";
        CHECK(getProblemCodes(checkResource(empty, teams)) == std::vector { ProblemCode::SpecificationMissing });
    }
}

TEST_CASE("a failure domain is not taken out of service without a reason, and no second policy is accepted")
{
    auto domain = makeResource(ResourceKind::FailureDomain, "north");
    domain.failure_domain->state = schema::DomainState::OutOfService;
    CHECK(getProblemCodes(checkResource(domain, teams)) == std::vector { ProblemCode::ReasonMissing });
    domain.failure_domain->reason = std::string(maxReasonLength + 1, 'x');
    CHECK(getProblemCodes(checkResource(domain, teams)) == std::vector { ProblemCode::TextTooLong });
    domain.failure_domain->reason = "switch replacement";
    CHECK(checkResource(domain, teams).empty());
    CHECK(getProblemCodes(checkResource(makeResource(ResourceKind::Policy, "other"), teams)) == std::vector { ProblemCode::NameMalformed });
}

TEST_CASE("removals that would start work in a drained domain or leave a service without team are refused")
{
    ResourceTable table;
    auto drained = makeResource(ResourceKind::FailureDomain, "north");
    drained.failure_domain->state = schema::DomainState::OutOfService;
    applyChange(table, { Revision(1), { ResourceKind::FailureDomain, "north" }, std::make_shared<const schema::ResourceT>(drained) }, {});
    applyChange(table, makeChange(ResourceKind::Team, "glaze", 2), {});
    applyChange(table, makeChange(ResourceKind::Service, "proof", 3), {});
    CHECK(getProblemCodes(checkRemoval({ ResourceKind::FailureDomain, "north" }, table)) == std::vector { ProblemCode::StillInUse });
    CHECK(getProblemCodes(checkRemoval({ ResourceKind::Team, "glaze" }, table)) == std::vector { ProblemCode::StillInUse });
    CHECK(checkRemoval({ ResourceKind::Service, "proof" }, table).empty());
}

TEST_CASE("an older revision of a resource is never applied")
{
    ResourceTable table;
    const auto newer = makeChange(ResourceKind::Team, "glaze", 7);
    CHECK(applyChange(table, newer, {}));
    CHECK_FALSE(applyChange(table, makeChange(ResourceKind::Team, "glaze", 6), {}));
    CHECK_FALSE(applyChange(table, newer, {}));
    CHECK(table.entries.at({ ResourceKind::Team, "glaze" }).revision == Revision(7));
}

TEST_CASE("a delayed event does not bring back a resource whose tombstone has left the store")
{
    ResourceTable table;
    const ResourceKey key { ResourceKind::Team, "glaze" };
    applyChange(table, makeChange(ResourceKind::Team, "glaze", 3), {});
    CHECK(applyListing(table, { {}, Revision(9), true }, {}).size() == 1);
    CHECK_FALSE(applyChange(table, makeChange(ResourceKind::Team, "glaze", 4), {}));
    CHECK(findResource(table, key) == nullptr);
    CHECK(applyChange(table, makeChange(ResourceKind::Team, "glaze", 10), {}));
}

TEST_CASE("a complete read that was sent before a newer change does not remove it")
{
    ResourceTable table;
    applyChange(table, makeChange(ResourceKind::Team, "glaze", 12), {});
    CHECK(applyListing(table, { {}, Revision(11), true }, {}).empty());
    CHECK(findResource(table, { ResourceKind::Team, "glaze" }) != nullptr);
}

TEST_CASE("a watch that would miss a change has to list again")
{
    ChangeHistory history;
    history.maxChanges = 3;
    resetHistory(history, Revision(10));
    for (int revision = 11; revision <= 15; ++revision)
        appendChange(history, makeChange(ResourceKind::Team, "t", revision));
    CHECK(history.changes.size() == 3);
    CHECK_FALSE(getChangesAfter(history, Revision(11)).has_value());
    REQUIRE(getChangesAfter(history, Revision(12)).has_value());
    CHECK(getChangesAfter(history, Revision(12))->size() == 3);
    CHECK(getChangesAfter(history, Revision(15))->empty());

    // A watch at revision 15 would miss revision 14, which arrives late.
    appendChange(history, makeChange(ResourceKind::Team, "late", 14));
    CHECK_FALSE(getChangesAfter(history, Revision(15)).has_value());
    CHECK(getChangesAfter(history, history.minRevision).has_value());
}

TEST_CASE("only tombstones of the given age expire")
{
    ResourceTable table;
    auto tombstone = makeResource(ResourceKind::Team, "old");
    tombstone.deleted = true;
    const MonotonicTime start {};
    applyChange(table, { Revision(1), { ResourceKind::Team, "old" }, std::make_shared<const schema::ResourceT>(tombstone) }, start);
    applyChange(table, makeChange(ResourceKind::Team, "live", 2), start);
    CHECK(expiredTombstones(table, start + std::chrono::minutes(59), std::chrono::hours(1)).empty());
    CHECK(expiredTombstones(table, start + std::chrono::hours(1), std::chrono::hours(1)).size() == 1);
}

TEST_CASE("the start gate refuses starts with an unconfirmed or too old configuration and in a domain out of service")
{
    struct Snapshot {
        bool isDomainOutOfService = false;
        bool isOutOfService(const FailureDomain&) const { return isDomainOutOfService; }
    };
    struct View {
        std::optional<MonotonicTime> time;
        Snapshot state;
        std::optional<MonotonicTime> confirmedAt() const { return time; }
        std::shared_ptr<const Snapshot> snapshot() const { return std::make_shared<const Snapshot>(state); }
    };
    const FailureDomain north("north");
    const MonotonicTime confirmed { std::chrono::hours(1) };
    const Milliseconds maxAge(2000);
    CHECK(getStartRefusal(View {}, north, confirmed, maxAge) == StartRefusal::NeverConfirmed);
    CHECK(isStartAllowed(View { confirmed, {} }, north, confirmed + maxAge, maxAge));
    CHECK(getStartRefusal(View { confirmed, {} }, north, confirmed + maxAge + std::chrono::nanoseconds(1), maxAge)
        == StartRefusal::ConfirmationTooOld);
    CHECK(getStartRefusal(View { confirmed, { true } }, north, confirmed, maxAge) == StartRefusal::DomainOutOfService);
}
