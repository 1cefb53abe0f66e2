#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "resources/Checks.h"
#include "schema/generated/records_generated.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcuploom {

enum class JobErrorCode {
    Invalid,
    NotFound,
    // A job of this name exists with another specification; "current" is its record.
    Conflict,
    // Nothing was stored.
    StoreUnavailable,
    OutcomeUnknown,
};

struct JobError {
    JobErrorCode code = JobErrorCode::NotFound;
    std::vector<resources::Problem> problems;
    std::optional<schema::JobRecordT> current;
};

enum class ExplainKind {
    // "<job>/<index>".
    Task,
    // "<service>/<team>" or "<service>".
    RequestClass,
    // VM id of a worker.
    Worker,
};

struct ExplainQuery {
    ExplainKind kind = ExplainKind::Task;
    std::string name;
};

// One typed reason with its figures.
struct ExplainReason {
    // Snake case, for example "quota_exceeded".
    std::string code;
    // key=value pairs.
    std::string figures;
    // What an operator can do; empty when nothing is to be done.
    std::string next;
};

struct Explanation {
    // Snake case, for example "pending".
    std::string state;
    std::vector<ExplainReason> reasons;
};

// What OperatorApi needs of jobs, requests and workers. Thread-safe; calls may block for a store call.
class JobApi {
public:
    virtual ~JobApi() = default;

    // Repeating a submission returns the job that exists. The specification has been checked against the declared teams.
    virtual Expected<schema::JobRecordT, JobError> submit(const schema::JobSpecT&, const std::string& actor) = 0;
    virtual Expected<schema::JobRecordT, JobError> cancel(const JobName&, const std::string& actor) = 0;
    virtual Expected<schema::JobRecordT, JobError> find(const JobName&) const = 0;
    virtual std::vector<schema::JobRecordT> list() const = 0;
    virtual Expected<Explanation, JobError> explain(const ExplainQuery&) const = 0;
};

} // namespace kingcuploom
