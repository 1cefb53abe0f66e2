#pragma once

#include "Measurement.h"

namespace kingcuploom::capacity {

// Each appends the figures of one role.

// Shard records: size, memory, encode and decode, commits over the in-memory store and over the etcd adapter.
void measureShardRecords(Figures&);
void measureGroupCommit(Figures&);
void measureStoreAdapter(Figures&);
void measureWatch(Figures&);
void measureAuditBatch(Figures&);

// Heartbeats and decisions of ownership.
void measureHeartbeats(Figures&);
void measureOwnership(Figures&);

// Job records, assignment and passes of the coordinator.
void measureAssignment(Figures&);
void measureCoordinatorPass(Figures&);

void measureWorkerSync(Figures&);

void measureConfiguration(Figures&);

void measureAdmission(Figures&);
void measureForwarding(Figures&);

} // namespace kingcuploom::capacity
