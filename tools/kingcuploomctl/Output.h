#pragma once

#include "Session.h"

namespace kingcuploom::ctl {

// Print answers for people.
void printChangeResult(const Session&, const json_t*);
// What a change replaced, field by field; nothing for a new or unchanged resource.
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
