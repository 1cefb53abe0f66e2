#include "Output.h"

#include "Table.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace kingcuploom::ctl {

namespace {

    std::vector<const json_t*> getItems(const json_t* object, const char* key)
    {
        std::vector<const json_t*> items;
        std::size_t i = 0;
        const json_t* item = nullptr;
        json_array_foreach(json_object_get(object, key), i, item) { items.push_back(item); }
        return items;
    }

    // Returns the specification, which is stored in a member named after the kind; null if there is none.
    const json_t* getSpecification(const json_t* resource)
    {
        for (const auto* key : { "service", "failure_domain", "team", "policy" }) {
            if (const auto* member = json_object_get(resource, key))
                return member;
        }
        return nullptr;
    }

    Row resourceRow(const json_t* entry)
    {
        const auto* resource = json_object_get(entry, "resource");
        return { memberText(resource, "kind"), memberText(resource, "name"), memberText(entry, "revision"),
            memberText(resource, "updated_by"), formatSummary(getSpecification(resource)) };
    }

    const Row resourceHeader { "KIND", "NAME", "REVISION", "CHANGED BY", "SPECIFICATION" };

    std::string formatTime(const json_t* event)
    {
        const auto ms = json_integer_value(json_object_get(event, "time_ms"));
        const auto seconds = static_cast<std::time_t>(ms / 1000);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char buf[32];
        const auto n = std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return { buf, n };
    }

    void printEventTable(const Session& session, const json_t* body)
    {
        std::vector<Row> rows { { "TIME", "DAEMON", "ACTOR", "OBJECT", "ACTION", "REASON", "FIGURES" } };
        std::ranges::transform(getItems(body, "events"), std::back_inserter(rows), [](const json_t* event) {
            return Row { formatTime(event), memberText(event, "daemon"), memberText(event, "actor"), memberText(event, "object"),
                memberText(event, "action"), memberText(event, "reason"), memberText(event, "figures") };
        });
        printTable(session.out, rows);
    }

    void printTaskTable(const Session& session, const json_t* job)
    {
        std::vector<Row> rows { { "TASK", "STATE", "ATTEMPT", "SHARD", "END REASON" } };
        std::ranges::transform(getItems(job, "tasks"), std::back_inserter(rows), [](const json_t* task) {
            return Row { memberText(task, "index"), memberText(task, "state"), memberText(task, "attempt"), memberText(task, "shard"),
                memberText(task, "end_reason") };
        });
        printTable(session.out, rows);
    }

    Row jobRow(const json_t* job)
    {
        return { memberText(job, "name"), memberText(job, "team"), memberText(job, "kind"), memberText(job, "state"),
            memberText(job, "submitted_by"), formatSummary(json_object_get(job, "task_states")) };
    }

    const Row jobHeader { "JOB", "TEAM", "KIND", "STATE", "SUBMITTED BY", "TASKS" };

} // namespace

void printChangeResult(const Session& session, const json_t* body)
{
    const auto* resource = json_object_get(body, "resource");
    const auto subject = memberText(resource, "kind") + " " + memberText(resource, "name");
    if (json_is_true(json_object_get(body, "dry_run")))
        session.out << subject << ": accepted, not stored (dry run), replaces revision " << memberText(body, "revision") << '\n';
    else if (json_is_true(json_object_get(body, "changed")))
        session.out << subject << ": stored at revision " << memberText(body, "revision") << '\n';
    else
        session.out << subject << ": unchanged, revision " << memberText(body, "revision") << '\n';
}

void printReplacedFields(const Session& session, const json_t* before, const json_t* after)
{
    const auto* old = json_object_get(before, "resource");
    const auto* current = json_object_get(after, "resource");
    const bool isReplaced = json_is_true(json_object_get(after, "changed")) || json_is_true(json_object_get(after, "dry_run"));
    if (!old || !isReplaced)
        return;
    session.out << "replaces revision " << memberText(before, "revision") << ", changed by '" << memberText(old, "updated_by") << "'\n";
    printDifferences(session.out, current, old, { "NEW", "REPLACED" });
}

void printResource(const Session& session, const json_t* body) { printTable(session.out, { resourceHeader, resourceRow(body) }); }

void printResources(const Session& session, const json_t* body)
{
    std::vector<Row> rows { resourceHeader };
    std::ranges::transform(getItems(body, "resources"), std::back_inserter(rows), resourceRow);
    printTable(session.out, rows);
}

void printWatchEvent(const Session& session, const json_t* line)
{
    if (session.line.output == OutputFormat::Json) {
        session.out << toCompactJson(line) << std::endl;
        return;
    }
    if (memberText(line, "type") == "progress")
        return;
    const auto* specification = getSpecification(json_object_get(line, "resource"));
    session.out << memberText(line, "revision") << ' ' << memberText(line, "type") << ' ' << memberText(line, "kind") << '/'
                << memberText(line, "name") << ' ' << formatSummary(specification) << std::endl;
}

void printSubmission(const Session& session, const json_t* body)
{
    if (json_is_true(json_object_get(body, "dry_run")))
        session.out << "job " << memberText(json_object_get(body, "spec"), "name") << ": accepted, not stored (dry run)\n";
    else
        session.out << "job " << memberText(body, "name") << ": accepted, " << memberText(body, "state") << '\n';
}

void printJob(const Session& session, const json_t* body)
{
    printTable(session.out, { jobHeader, jobRow(body) });
    session.out << '\n';
    printTaskTable(session, body);
}

void printJobs(const Session& session, const json_t* body)
{
    std::vector<Row> rows { jobHeader };
    std::ranges::transform(getItems(body, "jobs"), std::back_inserter(rows), jobRow);
    printTable(session.out, rows);
}

void printStatus(const Session& session, const json_t* body)
{
    const auto* config = json_object_get(body, "config");
    printTable(session.out,
        { { "daemon", memberText(body, "daemon") }, { "failure domain", memberText(body, "failure_domain") },
            { "ready", memberText(body, "ready") }, { "leaving", memberText(body, "leaving") },
            { "config revision", memberText(config, "revision") },
            { "config confirmed", memberText(config, "confirmed_ms_ago") + " ms ago" },
            { "out of service", memberText(config, "out_of_service") } });
    session.out << '\n';
    std::vector<Row> members { { "MEMBER", "FAILURE DOMAIN", "LEAVING" } };
    std::ranges::transform(getItems(body, "members"), std::back_inserter(members), [](const json_t* member) {
        return Row { memberText(member, "daemon"), memberText(member, "failure_domain"), memberText(member, "leaving") };
    });
    printTable(session.out, members);
    session.out << '\n';
    std::vector<Row> shards { { "OWNED SHARD", "EPOCH", "PORTION", "DRAINING" } };
    std::ranges::transform(getItems(body, "shards"), std::back_inserter(shards), [](const json_t* shard) {
        return Row { memberText(shard, "shard"), memberText(shard, "epoch"), memberText(shard, "portion"), memberText(shard, "draining") };
    });
    printTable(session.out, shards);
}

void printExplanation(const Session& session, const json_t* body)
{
    session.out << memberText(body, "kind") << ' ' << memberText(body, "name") << ": " << memberText(body, "state") << "\n\n";
    std::vector<Row> rows { { "REASON", "FIGURES", "NEXT" } };
    std::ranges::transform(getItems(body, "reasons"), std::back_inserter(rows), [](const json_t* reason) {
        return Row { memberText(reason, "code"), memberText(reason, "figures"), memberText(reason, "next") };
    });
    printTable(session.out, rows);
    session.out << '\n';
    printEventTable(session, body);
    if (json_object_get(body, "events_error"))
        session.err << "warning: the audit events could not be read from the store\n";
}

void printAuditEvents(const Session& session, const json_t* body) { printEventTable(session, body); }

} // namespace kingcuploom::ctl
