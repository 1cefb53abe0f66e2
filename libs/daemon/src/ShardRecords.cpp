#include "daemon/ShardRecords.h"

#include "ShardLogKeys.h"
#include "base/Log.h"
#include "ledger/ShardChange.h"
#include "schema/RecordCodec.h"

namespace kingcuploom {

namespace {

    // Reads of a shard whose keys are written again between two pages of the listing.
    constexpr int maxReadAttempts = 3;

    tl::unexpected<UpdateError> failure(UpdateErrorCode code) { return makeUnexpected(UpdateError { code }); }

    std::string encodeBase(const schema::ShardRecordT& record, std::uint64_t number, Revision revision)
    {
        flatbuffers::FlatBufferBuilder builder;
        const auto packed = schema::ShardRecord::Pack(builder, &record);
        builder.Finish(schema::CreateShardBase(builder, number, revision.value(), packed));
        return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
    }

    // A record that fits no base could never leave the log again.
    bool fitsBase(const schema::ShardRecordT& record)
    {
        return ledger::storedSizeBound(record) <= store::maxValueBytes || encodeBase(record, 1, Revision(1)).size() <= store::maxValueBytes;
    }

} // namespace

// A value of a shard log, both pointers null when it is unreadable.
struct ShardRecords::Decoded {
    Decoded(std::optional<std::size_t> givenKey, const store::KeyValue& entry)
        : key(givenKey)
        , revision(entry.modRevision)
    {
        if (key) {
            if (auto decoded = schema::decode<schema::ShardChangeT>(entry.value))
                change = std::make_shared<const schema::ShardChangeT>(std::move(*decoded));
        } else if (auto decoded = schema::decode<schema::ShardBaseT>(entry.value)) {
            base = std::make_unique<schema::ShardBaseT>(std::move(*decoded));
        }
    }

    // Nothing for the base.
    std::optional<std::size_t> key;
    Revision revision;
    std::unique_ptr<schema::ShardBaseT> base;
    ledger::ShardChangePointer change;
};

ShardRecords::ShardRecords(store::Store& store, std::uint64_t seed)
    : m_store(store)
    , m_writeIds(seed)
{
}

ShardRecords::Slot& ShardRecords::slotOf(const ShardId& shard)
{
    const std::scoped_lock lock(m_mutex);
    auto& slot = m_slots[shard];
    if (!slot)
        slot = std::make_unique<Slot>();
    return *slot;
}

ShardRecords::Record ShardRecords::find(const ShardId& shard) const { return findVersion(shard).record; }

ShardRecords::Version ShardRecords::findVersion(const ShardId& shard) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_slots.find(shard);
    return it == m_slots.end() ? Version() : it->second->published;
}

std::map<ShardId, ShardRecords::Record> ShardRecords::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<ShardId, Record> records;
    for (const auto& [shard, slot] : m_slots) {
        if (slot->published.record)
            records.emplace(shard, slot->published.record);
    }
    return records;
}

std::set<ShardId> ShardRecords::incomplete() const
{
    const std::scoped_lock lock(m_mutex);
    return m_incomplete;
}

void ShardRecords::take(const ShardId& shard, Slot& slot, std::vector<Decoded> values, bool isCompleteRead)
{
    const std::scoped_lock lock(slot.logMutex);
    for (auto& value : values) {
        if (value.key)
            ledger::takeChange(slot.log, *value.key, value.change, value.revision);
        else
            ledger::takeBase(slot.log, std::move(value.base), value.revision);
    }
    ledger::advance(slot.log);
    if (isCompleteRead)
        ledger::completeRead(slot.log);
    publish(shard, slot);
}

void ShardRecords::publish(const ShardId& shard, Slot& slot)
{
    const bool isUnreadable = ledger::isUnreadable(slot.log);
    bool isNews = false;
    {
        const std::scoped_lock lock(m_mutex);
        slot.published = { slot.log.record, slot.log.revision };
        if (ledger::hasGap(slot.log) && !isUnreadable)
            m_incomplete.insert(shard);
        else
            m_incomplete.erase(shard);
        const auto unreadable = std::max(slot.log.unreadable, slot.log.baseRevision);
        isNews = isUnreadable && slot.reportedUnreadable < unreadable;
        if (isNews)
            slot.reportedUnreadable = unreadable;
    }
    if (isNews)
        logEvent(LogLevel::Error, "unreadable_shard_record", { { "shard", shard }, { "after_change", slot.log.number } });
}

std::optional<ShardId> ShardRecords::observe(const store::KeyValue& entry)
{
    auto parsed = parseShardLogKey(entry.key);
    if (!parsed)
        return std::nullopt;
    auto& slot = slotOf(parsed->shard);
    bool isKnown = false;
    {
        const std::scoped_lock lock(slot.logMutex);
        isKnown = ledger::isKnown(slot.log, parsed->key, entry.modRevision);
    }
    if (!isKnown) {
        // Decoded outside of all locks.
        std::vector<Decoded> values;
        values.emplace_back(parsed->key, entry);
        take(parsed->shard, slot, std::move(values), false);
    }
    return std::move(parsed->shard);
}

std::set<ShardId> ShardRecords::observeListing(const std::vector<store::KeyValue>& entries)
{
    std::map<ShardId, std::vector<Decoded>> shards;
    for (const auto& entry : entries) {
        if (const auto parsed = parseShardLogKey(entry.key))
            shards[parsed->shard].emplace_back(parsed->key, entry);
    }
    std::set<ShardId> seen;
    for (auto& [shard, values] : shards) {
        take(shard, slotOf(shard), std::move(values), true);
        seen.insert(shard);
    }
    return seen;
}

Expected<void, UpdateError> ShardRecords::reload(const ShardId& shard, Slot& slot)
{
    for (int attempt = 0; attempt < maxReadAttempts; ++attempt) {
        Revision from;
        {
            const std::scoped_lock lock(slot.logMutex);
            from = ledger::readFrom(slot.log);
        }
        const auto listing = m_store.list(shardPrefixOf(shard), from);
        if (!listing)
            return failure(UpdateErrorCode::StoreUnavailable);
        std::vector<Decoded> values;
        for (const auto& entry : listing->entries) {
            const auto parsed = parseShardLogKey(entry.key);
            if (parsed && parsed->shard == shard)
                values.emplace_back(parsed->key, entry);
        }
        take(shard, slot, std::move(values), true);
        const std::scoped_lock lock(slot.logMutex);
        if (ledger::isUnreadable(slot.log))
            return failure(UpdateErrorCode::Unreadable);
        if (!ledger::hasGap(slot.log)) {
            slot.hasUnknownOutcome = false;
            return {};
        }
    }
    return failure(UpdateErrorCode::StoreUnavailable);
}

Expected<ShardRecords::Record, UpdateError> ShardRecords::refresh(const ShardId& shard)
{
    auto& slot = slotOf(shard);
    const std::scoped_lock commitLock(slot.commitMutex);
    if (auto result = reload(shard, slot); !result)
        return makeUnexpected(result.error());
    return find(shard);
}

Expected<ShardRecords::Record, UpdateError> ShardRecords::update(const ShardId& shard, const Change& change)
{
    auto& slot = slotOf(shard);
    const std::scoped_lock commitLock(slot.commitMutex);
    auto write = begin(shard, slot);
    if (!write)
        return makeUnexpected(write.error());
    write->after = write->before ? std::make_shared<schema::ShardRecordT>(*write->before) : std::make_shared<schema::ShardRecordT>();
    write->after->shard = shard.value();
    if (!change(*write->after))
        return failure(UpdateErrorCode::Declined);
    if (!fitsBase(*write->after))
        return failure(UpdateErrorCode::ValueTooLarge);
    if (auto result = makeRoom(shard, slot); !result)
        return makeUnexpected(result.error());
    return send(shard, slot, *write);
}

// The record, the number of the next change and the revision of its key are taken at once: a later revision of the key would be that of
// a change by another daemon, which must not be overwritten.
Expected<ShardRecords::Write, UpdateError> ShardRecords::begin(const ShardId& shard, Slot& slot)
{
    bool isReadNeeded = slot.hasUnknownOutcome;
    {
        const std::scoped_lock lock(slot.logMutex);
        isReadNeeded |= ledger::hasGap(slot.log) || !slot.log.areKeysKnown;
    }
    if (isReadNeeded) {
        if (auto result = reload(shard, slot); !result)
            return makeUnexpected(result.error());
    }
    const std::scoped_lock lock(slot.logMutex);
    if (ledger::isUnreadable(slot.log))
        return failure(UpdateErrorCode::Unreadable);
    const auto number = slot.log.number + 1;
    return Write { number, slot.log.keys[ledger::logKeyOf(number)].revision, slot.log.record, nullptr };
}

Expected<void, UpdateError> ShardRecords::makeRoom(const ShardId& shard, Slot& slot)
{
    const auto isFull = [&] {
        const std::scoped_lock lock(slot.logMutex);
        return ledger::isFull(slot.log);
    };
    if (!isFull())
        return {};
    const auto result = writeBase(shard, slot);
    // Another daemon may have written the base.
    return isFull() ? result : Expected<void, UpdateError>();
}

Expected<ShardRecords::Record, UpdateError> ShardRecords::send(const ShardId& shard, Slot& slot, const Write& write)
{
    {
        const std::scoped_lock lock(m_mutex);
        write.after->write_id = m_writeIds.next();
    }
    const schema::ShardRecordT noRecord;
    auto change = ledger::differenceOf(write.before ? *write.before : noRecord, *write.after);
    change.number = write.number;
    const auto key = ledger::logKeyOf(write.number);
    const auto result = m_store.compareAndSwap(shardLogKey(shard, key), write.expected, schema::encode(change));
    if (result) {
        {
            const std::scoped_lock lock(slot.logMutex);
            ledger::takeOwnChange(slot.log, write.number, write.after, *result);
            publish(shard, slot);
        }
        writeBaseIfDue(shard, slot);
        return Record(write.after);
    }
    switch (result.error().code) {
    case store::StoreErrorCode::Conflict:
        if (result.error().current)
            std::ignore = observe(*result.error().current);
        // Changes after the one that was in the way may exist as well.
        if (auto read = reload(shard, slot); !read)
            return makeUnexpected(read.error());
        return failure(UpdateErrorCode::Conflict);
    case store::StoreErrorCode::ValueTooLarge:
        return failure(UpdateErrorCode::ValueTooLarge);
    case store::StoreErrorCode::Unavailable:
    case store::StoreErrorCode::LeaseNotFound:
        return failure(UpdateErrorCode::StoreUnavailable);
    case store::StoreErrorCode::OutcomeUnknown:
    case store::StoreErrorCode::Protocol:
        break;
    }
    return resolve(shard, slot, write);
}

Expected<ShardRecords::Record, UpdateError> ShardRecords::resolve(const ShardId& shard, Slot& slot, const Write& write)
{
    // Until a re-read succeeds, the cached record may be behind the own write.
    slot.hasUnknownOutcome = true;
    if (!reload(shard, slot))
        return failure(UpdateErrorCode::OutcomeUnknown);
    auto outcome = ledger::WriteOutcome::Unknown;
    {
        const std::scoped_lock lock(slot.logMutex);
        outcome = ledger::outcomeOf(slot.log, write.number, write.after->write_id);
    }
    switch (outcome) {
    case ledger::WriteOutcome::Written:
        writeBaseIfDue(shard, slot);
        return Record(write.after);
    case ledger::WriteOutcome::Overtaken:
        return failure(UpdateErrorCode::Conflict);
    case ledger::WriteOutcome::Open:
        // A delayed write could still arrive after this read. The next update writes to the same key, so only one of them takes effect.
        return failure(write.before ? UpdateErrorCode::Conflict : UpdateErrorCode::OutcomeUnknown);
    case ledger::WriteOutcome::Unknown:
        break;
    }
    return failure(UpdateErrorCode::OutcomeUnknown);
}

Expected<void, UpdateError> ShardRecords::writeBase(const ShardId& shard, Slot& slot)
{
    Record record;
    std::uint64_t number = 0;
    Revision revision;
    Revision expected;
    {
        const std::scoped_lock lock(slot.logMutex);
        record = slot.log.record;
        number = slot.log.number;
        revision = slot.log.revision;
        expected = slot.log.baseRevision;
    }
    const auto result = m_store.compareAndSwap(shardBaseKey(shard), expected, encodeBase(*record, number, revision));
    if (result) {
        const std::scoped_lock lock(slot.logMutex);
        ledger::takeOwnBase(slot.log, number, *result);
        return {};
    }
    if (result.error().current)
        std::ignore = observe(*result.error().current);
    const bool isTooLarge = result.error().code == store::StoreErrorCode::ValueTooLarge;
    return failure(isTooLarge ? UpdateErrorCode::ValueTooLarge : UpdateErrorCode::StoreUnavailable);
}

// A failure is no failure of the change before it; the base is due again a few changes later.
void ShardRecords::writeBaseIfDue(const ShardId& shard, Slot& slot)
{
    bool isDue = false;
    {
        const std::scoped_lock lock(slot.logMutex);
        isDue = ledger::isBaseDue(slot.log);
    }
    if (isDue)
        std::ignore = writeBase(shard, slot);
}

} // namespace kingcuploom
