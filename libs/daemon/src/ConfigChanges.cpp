#include "base/Log.h"
#include "daemon/ConfigService.h"
#include "schema/JsonCodec.h"
#include "schema/RecordCodec.h"

#include <sstream>

namespace kingcuploom {

namespace {

    constexpr int maxWriteAttempts = 3;
    constexpr std::size_t maxActorLength = 64;

    bool isSameDeclaration(const schema::ResourceT& a, const schema::ResourceT& b)
    {
        const auto declarationOf = [](schema::ResourceT resource) {
            resource.updated_by.clear();
            resource.write_id = 0;
            return schema::encode(resource);
        };
        return declarationOf(a) == declarationOf(b);
    }

    resources::ResourcePointer parseStored(const std::optional<store::KeyValue>& entry)
    {
        if (!entry)
            return nullptr;
        auto resource = schema::parseResource(entry->value, entry->key);
        if (!resource)
            return nullptr;
        return std::make_shared<const schema::ResourceT>(std::move(*resource));
    }

    std::string figuresOf(const schema::ResourceT& resource)
    {
        std::ostringstream out;
        if (resource.service)
            out << "team=" << resource.service->team << " default_deadline_ms=" << resource.service->default_deadline_ms
                << " max_in_queue=" << resource.service->max_in_queue;
        if (resource.failure_domain)
            out << "state=" << schema::EnumNameDomainState(resource.failure_domain->state) << " note=\"" << resource.failure_domain->reason
                << '"';
        if (resource.team)
            out << "weight=" << resource.team->weight << " cpu_millis=" << resource.team->cpu_millis
                << " memory_mb=" << resource.team->memory_mb << " accelerators=" << resource.team->accelerators;
        if (resource.policy)
            out << "tail_latency_weight=" << resource.policy->tail_latency_weight
                << " throughput_weight=" << resource.policy->throughput_weight << " eviction_weight=" << resource.policy->eviction_weight
                << " evictions_per_minute=" << resource.policy->evictions_per_minute
                << " moves_per_minute=" << resource.policy->moves_per_minute;
        return out.str();
    }

} // namespace

const char* toString(ConfigErrorCode code)
{
    switch (code) {
    case ConfigErrorCode::Invalid:
        return "invalid";
    case ConfigErrorCode::NotFound:
        return "not_found";
    case ConfigErrorCode::Conflict:
        return "conflict";
    case ConfigErrorCode::StoreUnavailable:
        return "store_unavailable";
    case ConfigErrorCode::OutcomeUnknown:
        break;
    }
    return "outcome_unknown";
}

Expected<ApplyOutcome, ConfigError> ConfigService::apply(
    schema::ResourceT resource, Revision expected, const std::string& actor, ApplyMode mode)
{
    return change(Intent::Apply, std::make_shared<schema::ResourceT>(std::move(resource)), expected, actor, mode);
}

Expected<ApplyOutcome, ConfigError> ConfigService::remove(
    const resources::ResourceKey& key, Revision expected, const std::string& actor, ApplyMode mode)
{
    auto tombstone = std::make_shared<schema::ResourceT>();
    tombstone->kind = key.kind;
    tombstone->name = key.name;
    tombstone->deleted = true;
    return change(Intent::Remove, tombstone, expected, actor, mode);
}

Expected<ApplyOutcome, ConfigError> ConfigService::change(
    Intent intent, const std::shared_ptr<schema::ResourceT>& submitted, Revision expected, const std::string& actor, ApplyMode mode)
{
    const resources::ResourceKey key { submitted->kind, submitted->name };
    submitted->updated_by = actor.substr(0, maxActorLength);
    // The checks need the current teams and revisions; with this read their window of error is the time until the write.
    if (!refresh())
        return refuse(errorWith(ConfigErrorCode::StoreUnavailable, key, submitted), key, actor);
    if (auto problems = problemsOf(intent, *submitted); !problems.empty()) {
        auto error = errorWith(ConfigErrorCode::Invalid, key, submitted);
        error.problems = std::move(problems);
        return refuse(std::move(error), key, actor);
    }
    const auto current = find(key);
    if (!current && intent == Intent::Remove)
        return refuse(errorWith(ConfigErrorCode::NotFound, key, submitted), key, actor);
    if (current && isSameDeclaration(*current->resource, *submitted))
        return ApplyOutcome { *current, false };
    if ((current ? current->revision : Revision()) != expected)
        return refuse(errorWith(ConfigErrorCode::Conflict, key, submitted), key, actor);
    if (mode == ApplyMode::Trial)
        return ApplyOutcome { { submitted, expected }, false };
    const auto written = write(key, submitted, expected);
    if (!written)
        return refuse(written.error(), key, actor);
    m_metrics.changes.Increment();
    auditChange(key, expected, { submitted, *written });
    // Takes the change over in the order of the revisions. When it fails, the next read of this daemon does it.
    static_cast<void>(refresh());
    return ApplyOutcome { { submitted, *written }, true };
}

std::vector<resources::Problem> ConfigService::problemsOf(Intent intent, const schema::ResourceT& submitted) const
{
    const std::scoped_lock lock(m_mutex);
    if (intent == Intent::Remove)
        return resources::checkRemoval({ submitted.kind, submitted.name }, m_table);
    return resources::checkResource(submitted, getDeclaredTeams(m_table));
}

// Repeats a write whose answer was lost with the same expected revision and write id: it either takes effect once, or the conflict
// shows whether the first one did. A first write that is still on its way then fails at the store, because the revision has moved.
Expected<Revision, ConfigError> ConfigService::write(
    const resources::ResourceKey& key, const resources::ResourcePointer& submitted, Revision expected)
{
    auto stamped = *submitted;
    Revision revision;
    {
        const std::scoped_lock lock(m_mutex);
        stamped.write_id = m_random.next();
        // A new resource replaces the tombstone of an earlier one.
        revision = expected == Revision() ? getExpectedRevision(m_table, key) : expected;
    }
    const auto value = schema::toJson(stamped);
    bool isUnknown = false;
    for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
        const auto result = m_store.compareAndSwap(makeStoreKey(key), revision, value);
        if (result)
            return *result;
        const auto& failure = result.error();
        if (failure.code == store::StoreErrorCode::Conflict) {
            const auto stored = parseStored(failure.current);
            if (stored && stored->write_id == stamped.write_id)
                return failure.current->modRevision;
            if (!failure.current && revision != Revision() && expected == Revision()) {
                // The tombstone was removed meanwhile.
                revision = Revision();
                continue;
            }
            auto error = errorWith(isUnknown ? ConfigErrorCode::OutcomeUnknown : ConfigErrorCode::Conflict, key, submitted);
            error.current = stored && stored->deleted ? nullptr : stored;
            error.currentRevision = failure.current ? failure.current->modRevision : Revision();
            return makeUnexpected(std::move(error));
        }
        if (failure.code == store::StoreErrorCode::ValueTooLarge) {
            auto error = errorWith(ConfigErrorCode::Invalid, key, submitted);
            error.problems.push_back({ resources::ProblemCode::TextTooLong, "resource", std::to_string(value.size()) + " bytes",
                "at most " + std::to_string(store::maxValueBytes) + " bytes" });
            return makeUnexpected(std::move(error));
        }
        if (failure.code == store::StoreErrorCode::Unavailable && !isUnknown)
            return makeUnexpected(errorWith(ConfigErrorCode::StoreUnavailable, key, submitted));
        isUnknown = true;
    }
    return makeUnexpected(errorWith(isUnknown ? ConfigErrorCode::OutcomeUnknown : ConfigErrorCode::Conflict, key, submitted));
}

ConfigError ConfigService::errorWith(
    ConfigErrorCode code, const resources::ResourceKey& key, const resources::ResourcePointer& submitted) const
{
    const auto current = find(key);
    ConfigError error;
    error.code = code;
    error.submitted = submitted;
    error.current = current ? current->resource : nullptr;
    error.currentRevision = current ? current->revision : Revision();
    return error;
}

tl::unexpected<ConfigError> ConfigService::refuse(ConfigError error, const resources::ResourceKey& key, const std::string& actor)
{
    auto& counter = error.code == ConfigErrorCode::OutcomeUnknown ? m_metrics.unknownOutcomes : m_metrics.refusedChanges;
    counter.Increment();
    logEvent(LogLevel::Warning, "config_change_refused",
        { { "object", toString(key) }, { "actor", actor }, { "reason", toString(error.code) }, { "problems", error.problems.size() },
            { "current_revision", error.currentRevision } });
    return makeUnexpected(std::move(error));
}

void ConfigService::auditChange(const resources::ResourceKey& key, Revision before, const DeclaredResource& after)
{
    schema::AuditEventT event;
    event.actor = after.resource->updated_by;
    event.object = toString(key);
    event.action = after.resource->deleted ? "resource_removed" : "resource_applied";
    event.reason = "operator_request";
    event.revision_before = before.value();
    event.revision_after = after.revision.value();
    event.figures = figuresOf(*after.resource);
    m_audit.record(std::move(event));
}

} // namespace kingcuploom
