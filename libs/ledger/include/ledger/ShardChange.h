#pragma once

#include "schema/generated/records_generated.h"

namespace kingcuploom::ledger {

// What leads from one record of a shard to the next: all fields but the entries, and the entries that were changed, added or removed.
// Neither record may hold two entries of one attempt.
schema::ShardChangeT differenceOf(const schema::ShardRecordT& before, const schema::ShardRecordT& after);

// Applies a difference to the record that it was made from, entries in the same order as in the original. False, with the record
// unchanged, when it was made from a record with other entries.
bool applyChange(schema::ShardRecordT&, const schema::ShardChangeT&);

// Upper bound of the stored size of a record in bytes, without encoding it.
std::size_t storedSizeBound(const schema::ShardRecordT&);

} // namespace kingcuploom::ledger
