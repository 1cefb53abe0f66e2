#include "daemon/ConfigService.h"

namespace kingcuploom {

namespace {

    prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help, const prometheus::Labels& labels = {})
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels);
    }

    prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    constexpr char readsName[] = "kingcuploom_config_reads_total";
    constexpr char readsHelp[] = "Confirming reads of the configuration";
    constexpr char changesName[] = "kingcuploom_config_changes_total";
    constexpr char changesHelp[] = "Changes of resources requested at this daemon";

} // namespace

ConfigService::Metrics::Metrics(prometheus::Registry& registry)
    : reads(counter(registry, readsName, readsHelp, { { "result", "ok" } }))
    , failedReads(counter(registry, readsName, readsHelp, { { "result", "failed" } }))
    , watchLosses(counter(registry, "kingcuploom_config_watch_losses_total", "Losses of the configuration watch"))
    , triggeredReads(
          counter(registry, "kingcuploom_config_triggered_reads_total", "Reads triggered by a peer that knew a newer configuration"))
    , revisionRegressions(counter(
          registry, "kingcuploom_config_revision_regressions_total", "Reads that returned an older store revision than one read before"))
    , unreadableResources(
          counter(registry, "kingcuploom_config_unreadable_resources_total", "Stored resources that do not follow the schema"))
    , changes(counter(registry, changesName, changesHelp, { { "result", "stored" } }))
    , refusedChanges(counter(registry, changesName, changesHelp, { { "result", "refused" } }))
    , unknownOutcomes(counter(registry, changesName, changesHelp, { { "result", "outcome_unknown" } }))
    , revision(gauge(registry, "kingcuploom_config_revision", "Newest configuration revision known"))
    , confirmationAge(gauge(registry, "kingcuploom_config_confirmation_age_seconds",
          "Time since the configuration was last confirmed; -1 before the first confirmation"))
    , outOfServiceDomains(gauge(registry, "kingcuploom_config_out_of_service_domains", "Failure domains taken out of service"))
{
}

void ConfigService::updateMetrics()
{
    const auto confirmed = confirmedAt();
    const auto age = confirmed ? std::chrono::duration<double>(m_clock.now() - *confirmed).count() : -1.0;
    m_metrics.confirmationAge.Set(age);
    m_metrics.revision.Set(static_cast<double>(knownRevision().value()));
}

} // namespace kingcuploom
