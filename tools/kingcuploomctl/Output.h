#pragma once

#include "Session.h"

namespace kingcuploom::ctl {

// These functions print a daemon's JSON responses as human-readable text.

void printChangeResult(const Session&, const json_t*);
// Prints the fields that a change replaced; prints nothing for a new or unchanged resource.
void printReplacedFields(const Session&, const json_t* before, const json_t* after);
void printResource(const Session&, const json_t*);
void printResources(const Session&, const json_t*);
void printWatchEvent(const Session&, const json_t*);
void printSubmission(const Session&, const json_t*);
void printJob(const Session&, const json_t*);
void printJobs(const Session&, const json_t*);
void printStatus(const Session&, const json_t*);
void printExplanation(const Session&, const json_t*);
void printAuditEvents(const Session&, const json_t*);

} // namespace kingcuploom::ctl
