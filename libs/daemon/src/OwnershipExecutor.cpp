#include "OwnershipExecutor.h"

#include "schema/RecordCodec.h"

#include <algorithm>

namespace kingcuploom {

using namespace ownership;

namespace {

    Process processOf(const std::string& daemon, std::uint64_t incarnation, const std::string& address)
    {
        return { { DaemonId(daemon), Incarnation(incarnation) }, Address(address) };
    }

    bool hasExpectedVersion(const schema::ShardRecordT& record, const WriteShard& write)
    {
        const ProcessId owner { DaemonId(record.owner), Incarnation(record.owner_incarnation) };
        const bool isVersion = !write.expectedVersion || write.expectedVersion->value() == record.write_id;
        return isVersion && owner == write.expectedOwner && Epoch(record.epoch) == write.expectedEpoch;
    }

    void fillRecord(schema::ShardRecordT& record, const WriteShard& write)
    {
        record.owner = write.owner.id.daemon.value();
        record.owner_incarnation = write.owner.id.incarnation.value();
        record.owner_link_address = write.owner.linkAddress.value();
        record.epoch = write.epoch.value();
        record.predecessor = write.predecessor.id.daemon.value();
        record.predecessor_incarnation = write.predecessor.id.incarnation.value();
        record.predecessor_link_address = write.predecessor.linkAddress.value();
    }

    CallResult resultOf(UpdateErrorCode code)
    {
        switch (code) {
        case UpdateErrorCode::Declined:
        case UpdateErrorCode::StoreUnavailable:
        case UpdateErrorCode::ValueTooLarge:
        case UpdateErrorCode::Unreadable:
            return CallResult::NotWritten;
        // A conflict found after a lost answer does not rule out that the write still arrives.
        case UpdateErrorCode::Conflict:
        case UpdateErrorCode::OutcomeUnknown:
            break;
        }
        return CallResult::Unknown;
    }

    Event leaseFailure(const store::StoreError& error, LeaseId lease)
    {
        if (error.code == store::StoreErrorCode::LeaseNotFound)
            return LeaseMissing { lease };
        return LeaseCallFailed {};
    }

} // namespace

std::optional<ShardOwner> shardOwnerOf(const ShardRecords::Version& version)
{
    if (!version.record)
        return std::nullopt;
    const auto& record = *version.record;
    return ShardOwner { processOf(record.owner, record.owner_incarnation, record.owner_link_address), Epoch(record.epoch),
        processOf(record.predecessor, record.predecessor_incarnation, record.predecessor_link_address), WriteId(record.write_id),
        version.revision };
}

std::optional<Member> parseMember(const std::string& value)
{
    const auto record = schema::decode<schema::MemberRecordT>(value);
    if (!record || record->daemon.empty())
        return std::nullopt;
    return Member { processOf(record->daemon, record->incarnation, record->link_address), FailureDomain(record->failure_domain),
        record->leaving };
}

OwnershipExecutor::OwnershipExecutor(
    Identity identity, Milliseconds leaseTime, const Clock& clock, store::Store& store, ShardRecords& records)
    : m_identity(std::move(identity))
    , m_leaseTime(leaseTime)
    , m_clock(clock)
    , m_store(store)
    , m_records(records)
{
}

std::vector<Event> OwnershipExecutor::execute(const Action& action)
{
    return std::visit([this](const auto& given) { return run(given); }, action);
}

std::vector<Event> OwnershipExecutor::run(const GrantLease&)
{
    const auto sentAt = m_clock.now();
    const auto lease = m_store.grantLease(m_leaseTime);
    if (!lease)
        return { LeaseCallFailed {} };
    return { LeaseGranted { *lease, sentAt } };
}

std::vector<Event> OwnershipExecutor::run(const RenewLease& action)
{
    const auto sentAt = m_clock.now();
    const auto result = m_store.keepAlive(action.lease);
    if (!result)
        return { leaseFailure(result.error(), action.lease) };
    return { LeaseRenewed { action.lease, sentAt } };
}

std::vector<Event> OwnershipExecutor::run(const RegisterMember& action)
{
    const auto& self = m_identity.process;
    const auto key = memberPrefix + self.id.daemon.value();
    const auto current = m_store.get(key);
    if (!current)
        return { LeaseCallFailed {} };
    const auto holder = *current ? parseMember((*current)->value) : std::nullopt;
    if (holder && holder->process.id != self.id && holder->process.id != action.replaces)
        return { RegistrationBlocked { holder->process } };
    schema::MemberRecordT record;
    record.daemon = self.id.daemon.value();
    record.incarnation = self.id.incarnation.value();
    record.failure_domain = m_identity.domain.value();
    record.link_address = self.linkAddress.value();
    record.http_address = m_identity.httpAddress.value();
    record.leaving = action.leaving;
    const auto expected = *current ? (*current)->modRevision : Revision();
    const auto revision = m_store.compareAndSwap(key, expected, schema::encode(record), action.lease);
    if (!revision)
        return { leaseFailure(revision.error(), action.lease) };
    return { MemberRegistered { action.lease, *revision, action.leaving } };
}

std::vector<Event> OwnershipExecutor::run(const ListMembers&)
{
    const auto sentAt = m_clock.now();
    const auto listing = m_store.list(memberPrefix);
    if (!listing)
        return { MembersUnknown {} };
    MembersListed event;
    event.sentAt = sentAt;
    event.storeRevision = listing->storeRevision;
    for (const auto& entry : listing->entries) {
        if (auto member = parseMember(entry.value))
            event.members.push_back(std::move(*member));
    }
    return { event };
}

std::vector<Event> OwnershipExecutor::withCurrent(const ShardId& shard, MonotonicTime sentAt, CallResult result)
{
    std::vector<Event> events;
    if (const auto owner = shardOwnerOf(m_records.findVersion(shard)))
        events.emplace_back(ShardSeen { shard, *owner, sentAt });
    events.emplace_back(ShardCallEnded { shard, result });
    return events;
}

std::vector<Event> OwnershipExecutor::run(const ReadShard& action)
{
    const auto sentAt = m_clock.now();
    if (!m_records.refresh(action.shard))
        return { ShardCallEnded { action.shard, CallResult::NotWritten } };
    return withCurrent(action.shard, sentAt, CallResult::Done);
}

std::vector<Event> OwnershipExecutor::run(const WriteShard& action)
{
    const auto sentAt = m_clock.now();
    const auto result = m_records.update(action.shard, [&](schema::ShardRecordT& record) {
        if (!hasExpectedVersion(record, action))
            return false;
        fillRecord(record, action);
        return true;
    });
    if (result)
        return withCurrent(action.shard, sentAt, CallResult::Done);
    const auto code = result.error().code;
    // Only an answer of the store counts as a read.
    const bool isAnswered = code == UpdateErrorCode::Conflict;
    auto events = withCurrent(action.shard, sentAt, resultOf(code));
    if (!isAnswered && events.size() > 1)
        std::get<ShardSeen>(events.front()).readSentAt.reset();
    return events;
}

} // namespace kingcuploom
