#include "StatusReport.h"

#include "OperatorJson.h"

#include <algorithm>

namespace kingcuploom {

namespace {

    Json outOfServiceDomains(const OperatorApi::Parts& parts)
    {
        auto domains = jsonArray();
        const auto snapshot = parts.config.snapshot();
        for (const auto& [domain, spec] : snapshot->domains) {
            if (spec.state == schema::DomainState::OutOfService)
                appendValue(domains, toJsonValue(domain.value()));
        }
        return domains;
    }

    Json configReport(const OperatorApi::Parts& parts)
    {
        const auto confirmedAt = parts.config.confirmedAt();
        const auto age = confirmedAt ? std::chrono::duration_cast<Milliseconds>(parts.clock.now() - *confirmedAt).count() : -1;
        auto config = jsonObject();
        setField(config, "revision", parts.config.knownRevision().value());
        setField(config, "confirmed_ms_ago", std::int64_t(age));
        setField(config, "out_of_service", outOfServiceDomains(parts));
        return config;
    }

    Json memberReport(const OperatorApi::Parts& parts)
    {
        auto members = jsonArray();
        for (const auto& member : parts.ownership.members()) {
            auto item = jsonObject();
            setField(item, "daemon", member.daemon.value());
            setField(item, "failure_domain", member.domain.value());
            setField(item, "leaving", member.leaving);
            appendValue(members, std::move(item));
        }
        return members;
    }

    Json shardReport(const OperatorApi::Parts& parts)
    {
        auto shards = jsonArray();
        for (const auto& owned : parts.ownership.ownedShards()) {
            auto item = jsonObject();
            setField(item, "shard", owned.shard.value());
            setField(item, "epoch", owned.epoch.value());
            setField(item, "portion", toString(owned.portion));
            setField(item, "draining", owned.isDraining);
            appendValue(shards, std::move(item));
        }
        return shards;
    }

} // namespace

Json statusReport(const OperatorApi::Parts& parts)
{
    auto body = jsonObject();
    setField(body, "daemon", parts.settings.daemon_id);
    setField(body, "failure_domain", parts.settings.failure_domain);
    setField(body, "ready", parts.isReady());
    setField(body, "leaving", parts.ownership.isLeaving());
    setField(body, "config", configReport(parts));
    setField(body, "members", memberReport(parts));
    setField(body, "shards", shardReport(parts));
    return body;
}

} // namespace kingcuploom
