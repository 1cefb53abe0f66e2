#pragma once

#include "Json.h"
#include "daemon/AuditLog.h"
#include "daemon/ConfigService.h"
#include "daemon/JobApi.h"
#include "http/HttpMessage.h"

namespace kingcuploom {

// An error answer: HTTP status, typed code, what happened and what to do next.
struct ApiError {
    int status;
    const char* code;
    std::string message;
    const char* next;
};

http::Response jsonResponse(int status, const Json& body);
http::Response errorResponse(const ApiError&);
http::Response errorResponse(const ConfigError&);
http::Response errorResponse(const JobError&);
// The body of errorResponse() as one line.
std::string errorLine(const ApiError&);

Json toJsonObject(const schema::ResourceT&);
Json toJsonObject(const schema::JobSpecT&);
Json toJsonObject(const DeclaredResource&);
Json toJsonObject(const schema::AuditEventT&);
Json toJsonObject(const Explanation&);
// With one entry for each task.
Json toJsonObject(const schema::JobRecordT&);
// With the number of tasks in each state.
Json toJsonSummary(const schema::JobRecordT&);
// One line of a watch.
Json toJsonObject(const resources::Change&);

} // namespace kingcuploom
