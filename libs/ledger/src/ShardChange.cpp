#include "ledger/ShardChange.h"

#include <algorithm>
#include <numeric>

namespace kingcuploom::ledger {

namespace {

    using EntryPointer = std::unique_ptr<schema::LedgerEntryT>;
    using Entries = std::vector<EntryPointer>;

    // Fields of fixed size with their alignment, the offsets of four strings and a field table that no other entry shares.
    constexpr std::size_t entryOverheadBytes = 128;
    constexpr std::size_t recordOverheadBytes = 256;
    // Length, terminator and alignment.
    constexpr std::size_t stringOverheadBytes = 8;

    template <typename A, typename B> bool isSameAttempt(const A& a, const B& b)
    {
        return a.index == b.index && a.attempt == b.attempt && a.job == b.job;
    }

    std::unique_ptr<schema::AttemptRefT> refTo(const schema::LedgerEntryT& entry)
    {
        auto ref = std::make_unique<schema::AttemptRefT>();
        ref->job = entry.job;
        ref->index = entry.index;
        ref->attempt = entry.attempt;
        return ref;
    }

    // A new field of the record must be added here as well.
    static_assert(sizeof(schema::ShardRecordT)
        == 5 * sizeof(std::string) + 5 * sizeof(std::uint64_t) + sizeof(Entries)
            + sizeof(void*) * (std::is_polymorphic_v<schema::ShardRecordT> ? 1 : 0));

    void copyOwnFields(schema::ShardRecordT& to, const schema::ShardRecordT& from)
    {
        to.shard = from.shard;
        to.owner = from.owner;
        to.owner_incarnation = from.owner_incarnation;
        to.owner_link_address = from.owner_link_address;
        to.epoch = from.epoch;
        to.predecessor = from.predecessor;
        to.predecessor_incarnation = from.predecessor_incarnation;
        to.predecessor_link_address = from.predecessor_link_address;
        to.write_id = from.write_id;
        to.jobs_revision_floor = from.jobs_revision_floor;
    }

    // Visits the entries with what the change says of each. A difference lists entries in the order of the record, so one pass does.
    template <typename Kept, typename Replaced>
    bool walk(const Entries& entries, const schema::ShardChangeT& change, const Kept& kept, const Replaced& replaced)
    {
        auto removed = change.removed.begin();
        auto changed = change.record->entries.begin();
        const auto changedEnd = changed + change.replaced_count;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (removed != change.removed.end() && isSameAttempt(**removed, *entries[i])) {
                ++removed;
            } else if (changed != changedEnd && isSameAttempt(**changed, *entries[i])) {
                replaced(**changed);
                ++changed;
            } else {
                kept(i);
            }
        }
        return removed == change.removed.end() && changed == changedEnd;
    }

    std::size_t sizeBound(const schema::LedgerEntryT& entry)
    {
        constexpr std::size_t strings = 4;
        const auto characters = entry.job.size() + entry.worker.size() + entry.team.size() + entry.class_name.size();
        return entryOverheadBytes + strings * stringOverheadBytes + characters;
    }

} // namespace

schema::ShardChangeT differenceOf(const schema::ShardRecordT& before, const schema::ShardRecordT& after)
{
    schema::ShardChangeT change;
    change.record = std::make_unique<schema::ShardRecordT>();
    copyOwnFields(*change.record, after);
    auto next = after.entries.begin();
    for (const auto& entry : before.entries) {
        // An entry that was moved counts as removed here and as added below, so that its new place is kept.
        if (next == after.entries.end() || !isSameAttempt(*entry, **next)) {
            change.removed.push_back(refTo(*entry));
            continue;
        }
        if (*entry != **next)
            change.record->entries.push_back(std::make_unique<schema::LedgerEntryT>(**next));
        ++next;
    }
    change.replaced_count = static_cast<std::uint32_t>(change.record->entries.size());
    std::transform(next, after.entries.end(), std::back_inserter(change.record->entries),
        [](const EntryPointer& entry) { return std::make_unique<schema::LedgerEntryT>(*entry); });
    return change;
}

bool applyChange(schema::ShardRecordT& record, const schema::ShardChangeT& change)
{
    if (!change.record || change.replaced_count > change.record->entries.size())
        return false;
    const auto ignore = [](const auto&) {};
    if (!walk(record.entries, change, ignore, ignore))
        return false;
    Entries next;
    next.reserve(record.entries.size() + change.record->entries.size());
    const auto add = [&](const schema::LedgerEntryT& entry) { next.push_back(std::make_unique<schema::LedgerEntryT>(entry)); };
    const auto keep = [&](std::size_t i) { next.push_back(std::move(record.entries[i])); };
    walk(record.entries, change, keep, add);
    std::for_each(
        change.record->entries.begin() + change.replaced_count, change.record->entries.end(), [&](const auto& entry) { add(*entry); });
    record.entries = std::move(next);
    copyOwnFields(record, *change.record);
    return true;
}

std::size_t storedSizeBound(const schema::ShardRecordT& record)
{
    constexpr std::size_t strings = 5;
    const auto characters = record.shard.size() + record.owner.size() + record.owner_link_address.size() + record.predecessor.size()
        + record.predecessor_link_address.size();
    return std::transform_reduce(record.entries.begin(), record.entries.end(),
        recordOverheadBytes + strings * stringOverheadBytes + characters, std::plus<>(),
        [](const EntryPointer& entry) { return sizeBound(*entry); });
}

} // namespace kingcuploom::ledger
