#pragma once

#include "daemon/ShardRecords.h"
#include "ownership/Actions.h"
#include "ownership/Events.h"

namespace kingcuploom {

inline constexpr char memberPrefix[] = "/kingcuploom/members/";

// Carries out the store calls of the ownership decisions. Thread-safe; calls block for at most the store timeout each.
class OwnershipExecutor {
public:
    struct Identity {
        ownership::Process process;
        FailureDomain domain;
        Address httpAddress;
    };

    OwnershipExecutor(Identity, Milliseconds leaseTime, const Clock&, store::Store&, ShardRecords&);

    // Events that tell the result; none for actions without a store call.
    std::vector<ownership::Event> execute(const ownership::Action&);

private:
    std::vector<ownership::Event> run(const ownership::GrantLease&);
    std::vector<ownership::Event> run(const ownership::RenewLease&);
    std::vector<ownership::Event> run(const ownership::RegisterMember&);
    std::vector<ownership::Event> run(const ownership::ListMembers&);
    std::vector<ownership::Event> run(const ownership::ReadShard&);
    std::vector<ownership::Event> run(const ownership::WriteShard&);
    template <typename Other> std::vector<ownership::Event> run(const Other&) { return {}; }

    std::vector<ownership::Event> withCurrent(const ShardId&, MonotonicTime sentAt, ownership::CallResult);

    Identity m_identity;
    Milliseconds m_leaseTime;
    const Clock& m_clock;
    store::Store& m_store;
    ShardRecords& m_records;
};

// Ownership part of a shard record; nothing when the shard has none.
std::optional<ownership::ShardOwner> shardOwnerOf(const ShardRecords::Version&);

// Nothing when the value is no member record.
std::optional<ownership::Member> parseMember(const std::string& value);

} // namespace kingcuploom
