#pragma once

#include "base/Ids.h"
#include "schema/generated/records_generated.h"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace kingcuploom::ledger {

// Changes are numbered from 1. Change n is stored under key n modulo this number.
inline constexpr std::uint64_t shardLogKeys = 64;
// Changes from one writing of the base to the next.
inline constexpr std::uint64_t shardBaseInterval = 32;
// Changes between attempts to write a base that is due. 64 changes fit into the log, so there are four further attempts.
inline constexpr std::uint64_t shardBaseRetryInterval = 8;

constexpr std::size_t logKeyOf(std::uint64_t change) { return static_cast<std::size_t>(change % shardLogKeys); }

using ShardRecordPointer = std::shared_ptr<const schema::ShardRecordT>;
using ShardChangePointer = std::shared_ptr<const schema::ShardChangeT>;

// What one daemon knows of the base and the changes of one shard. The changes have one order, because change n + 1 is written only
// by a daemon that knows change n, over the value that its key had then.
struct ShardLog {
    // Record after the change "number", null before the first.
    ShardRecordPointer record;
    std::uint64_t number = 0;
    // Store revision of that change.
    Revision revision;

    // Last change in the base, and revision of the base's key.
    std::uint64_t baseNumber = 0;
    Revision baseRevision;
    bool isBaseUnreadable = false;

    struct Key {
        Revision revision;
        std::uint64_t writeId = 0;
    };
    std::array<Key, shardLogKeys> keys {};
    // False after a base was taken over without the changes that led to it, so that the revisions of some keys may be unknown.
    bool areKeysKnown = true;

    struct Waiting {
        ShardChangePointer change;
        Revision revision;
    };
    // Changes that were seen before an earlier one.
    std::map<std::uint64_t, Waiting> waiting;
    // Revision of the newest change that could not be read.
    Revision unreadable;
};

// The log has this revision of the key, or a newer one, already; no key stands for the base.
bool isKnown(const ShardLog&, std::optional<std::size_t> key, Revision);

// Take a base or a change as read, null when its value is unreadable. Older values than known ones are ignored.
void takeBase(ShardLog&, std::unique_ptr<schema::ShardBaseT>, Revision);
void takeChange(ShardLog&, std::size_t key, const ShardChangePointer&, Revision);
// Applies the changes that follow the record without a gap, all to one copy of it.
void advance(ShardLog&);

// A change that this daemon has written, with the record that it led to.
void takeOwnChange(ShardLog&, std::uint64_t number, const ShardRecordPointer&, Revision);
// A base that this daemon has written.
void takeOwnBase(ShardLog&, std::uint64_t number, Revision);

// A read of all keys that changed after readFrom() is complete.
void completeRead(ShardLog&);
// Keys that did not change after this revision need not be read.
Revision readFrom(const ShardLog&);

// A change is missing that a later one needs.
bool hasGap(const ShardLog&);
// The record cannot be brought up to date, because a value is unreadable.
bool isUnreadable(const ShardLog&);

// The base should be written now.
bool isBaseDue(const ShardLog&);
// The next change would overwrite one that the base does not contain.
bool isFull(const ShardLog&);

enum class WriteOutcome {
    // The change is in the log.
    Written,
    // Another change has its number.
    Overtaken,
    // No change has its number yet, so a delayed write may still take effect.
    Open,
    // Its number is so far behind that its key was used again.
    Unknown,
};
// What became of a write without an answer, judged after a complete read.
WriteOutcome outcomeOf(const ShardLog&, std::uint64_t number, std::uint64_t writeId);

} // namespace kingcuploom::ledger
