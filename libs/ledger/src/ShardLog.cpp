#include "ledger/ShardLog.h"

#include "ledger/ShardChange.h"

#include <algorithm>

namespace kingcuploom::ledger {

bool isKnown(const ShardLog& log, std::optional<std::size_t> key, Revision revision)
{
    return revision <= (key ? log.keys[*key].revision : log.baseRevision);
}

void takeBase(ShardLog& log, std::unique_ptr<schema::ShardBaseT> base, Revision revision)
{
    if (isKnown(log, std::nullopt, revision))
        return;
    log.baseRevision = revision;
    log.isBaseUnreadable = !base || !base->record;
    log.baseNumber = log.isBaseUnreadable ? 0 : base->number;
    if (log.baseNumber <= log.number)
        return;
    log.record = std::move(base->record);
    log.number = base->number;
    log.revision = Revision(base->revision);
    log.areKeysKnown = false;
}

void takeChange(ShardLog& log, std::size_t key, const ShardChangePointer& change, Revision revision)
{
    if (isKnown(log, key, revision))
        return;
    const bool isReadable = change && change->record && logKeyOf(change->number) == key;
    log.keys[key] = { revision, isReadable ? change->record->write_id : 0 };
    if (revision <= log.revision)
        return;
    // A number that does not fit the order of the revisions is no change of this log either.
    if (isReadable && change->number > log.number)
        log.waiting[change->number] = { change, revision };
    else
        log.unreadable = std::max(log.unreadable, revision);
}

void advance(ShardLog& log)
{
    log.waiting.erase(log.waiting.begin(), log.waiting.upper_bound(log.number));
    const auto before = log.number;
    std::shared_ptr<schema::ShardRecordT> next;
    while (!log.waiting.empty() && log.waiting.begin()->first == log.number + 1) {
        if (!next)
            next = log.record ? std::make_shared<schema::ShardRecordT>(*log.record) : std::make_shared<schema::ShardRecordT>();
        const auto [change, revision] = log.waiting.begin()->second;
        log.waiting.erase(log.waiting.begin());
        if (!applyChange(*next, *change)) {
            log.unreadable = std::max(log.unreadable, revision);
            break;
        }
        ++log.number;
        log.revision = revision;
    }
    if (log.number != before)
        log.record = std::move(next);
}

void takeOwnChange(ShardLog& log, std::uint64_t number, const ShardRecordPointer& record, Revision revision)
{
    const auto key = logKeyOf(number);
    if (!isKnown(log, key, revision))
        log.keys[key] = { revision, record->write_id };
    // Otherwise the watch was faster.
    if (number != log.number + 1)
        return;
    log.record = record;
    log.number = number;
    log.revision = revision;
    advance(log);
}

void takeOwnBase(ShardLog& log, std::uint64_t number, Revision revision)
{
    if (revision <= log.baseRevision)
        return;
    log.baseRevision = revision;
    log.baseNumber = number;
    log.isBaseUnreadable = false;
}

void completeRead(ShardLog& log) { log.areKeysKnown = true; }

Revision readFrom(const ShardLog& log) { return log.areKeysKnown ? log.revision : Revision(); }

bool hasGap(const ShardLog& log) { return !log.waiting.empty(); }

bool isUnreadable(const ShardLog& log)
{
    const bool isBaseNeeded = log.number == 0 || hasGap(log);
    return log.unreadable > log.revision || (log.isBaseUnreadable && isBaseNeeded);
}

bool isBaseDue(const ShardLog& log)
{
    const auto uncovered = log.number - log.baseNumber;
    return uncovered >= shardBaseInterval && (uncovered - shardBaseInterval) % shardBaseRetryInterval == 0;
}

bool isFull(const ShardLog& log) { return log.number + 1 > log.baseNumber + shardLogKeys; }

WriteOutcome outcomeOf(const ShardLog& log, std::uint64_t number, std::uint64_t writeId)
{
    if (log.keys[logKeyOf(number)].writeId == writeId)
        return WriteOutcome::Written;
    if (log.number < number)
        return WriteOutcome::Open;
    return log.number < number + shardLogKeys ? WriteOutcome::Overtaken : WriteOutcome::Unknown;
}

} // namespace kingcuploom::ledger
