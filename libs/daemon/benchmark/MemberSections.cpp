#include "Fleet.h"
#include "Sections.h"
#include "ownership/Decide.h"
#include "schema/RecordCodec.h"

namespace kingcuploom::capacity {

namespace {

    std::string sizeText(int shards, int members) { return "shards=" + std::to_string(shards) + " members=" + std::to_string(members); }

    // What one of the members sends when it owns its share of the shards.
    schema::LinkMessageT makeHeartbeat(int shards, int members, int services)
    {
        schema::HeartbeatT heartbeat;
        heartbeat.config_revision = 123456;
        for (int shard = 0; shard < (shards + members - 1) / members; ++shard) {
            heartbeat.capacities.push_back(std::make_unique<schema::CapacityFigureT>(makeCapacityFigure(shard, 100'000)));
            for (int service = 0; service < services; ++service)
                heartbeat.loads.push_back(std::make_unique<schema::LoadFigureT>(makeLoadFigure(shard, service)));
        }
        schema::LinkMessageT message;
        message.body.Set(std::move(heartbeat));
        return message;
    }

    ownership::Process processOf(int member)
    {
        return { { DaemonId("d" + std::to_string(member)), Incarnation(static_cast<std::uint64_t>(member) + 1) },
            Address("10.0.0.1:" + std::to_string(member + 1)) };
    }

    ownership::ShardSeen seen(const ownership::State& state, int shard, std::int64_t revision)
    {
        const auto id = shardName(shard);
        const auto owner = ownership::desiredOwner(state, id);
        return { id, { state.members.at(*owner).process, Epoch(1), {}, WriteId(static_cast<std::uint64_t>(revision)), Revision(revision) },
            std::nullopt };
    }

    // A settled daemon "d0": its lease is confirmed and each shard has its desired owner.
    ownership::State makeState(int shards, int members, MonotonicTime now)
    {
        ownership::State state;
        state.self = processOf(0);
        ownership::MembersListed listed { {}, Revision(5), now };
        for (int i = 0; i < members; ++i)
            listed.members.push_back({ processOf(i), FailureDomain("region0-domain0"), false });
        decide(state, ownership::LeaseGranted { LeaseId(1), now }, now);
        decide(state, ownership::MemberRegistered { LeaseId(1), Revision(4), false }, now);
        decide(state, listed, now);
        for (int i = 0; i < shards; ++i)
            decide(state, seen(state, i, 10 + i), now);
        decide(state, ownership::ShardsListed {}, now);
        return state;
    }

} // namespace

void measureHeartbeats(Figures& figures)
{
    struct Size {
        int shards;
        int members;
    };
    for (const auto size : { Size { 16, 7 }, Size { 128, 7 }, Size { 128, 32 }, Size { 128, 64 }, Size { 256, 32 }, Size { 256, 64 } }) {
        for (const int services : { 1, 20 }) {
            const auto message = makeHeartbeat(size.shards, size.members, services);
            const auto bytes = schema::encode(message);
            const auto parameters = sizeText(size.shards, size.members) + " services=" + std::to_string(services);
            const auto encode = microsPerCall(500, [&](int) { static_cast<void>(schema::encode(message)); });
            const auto decode = microsPerCall(500, [&](int) { static_cast<void>(schema::decode<schema::LinkMessageT>(bytes)); });
            figures.push_back({ "heartbeat", parameters, "size", static_cast<double>(bytes.size()), "bytes" });
            figures.push_back({ "heartbeat", parameters, "encode", encode, "us" });
            figures.push_back({ "heartbeat", parameters, "decode", decode, "us" });
        }
    }
}

void measureOwnership(Figures& figures)
{
    for (const int shards : { 16, 128, 256 }) {
        for (const int members : { 7, 32, 64 }) {
            auto now = MonotonicTime(std::chrono::hours(1));
            auto state = makeState(shards, members, now);
            std::vector<ownership::ShardSeen> commits;
            commits.reserve(static_cast<std::size_t>(shards));
            for (int i = 0; i < shards; ++i)
                commits.push_back(seen(state, i, 0));
            const auto tick = microsPerCall(500, [&](int) { decide(state, ownership::Tick {}, now += std::chrono::microseconds(1)); });
            const auto commit = microsPerCall(2000, [&](int i) {
                auto& event = commits[static_cast<std::size_t>(i % shards)];
                event.record.revision = Revision(1000 + i);
                event.record.writeId = WriteId(static_cast<std::uint64_t>(1000 + i));
                decide(state, event, now);
            });
            const auto memory = heldBytes([&] { return std::make_unique<ownership::State>(state); });
            figures.push_back({ "ownership", sizeText(shards, members), "tick", tick, "us" });
            figures.push_back({ "ownership", sizeText(shards, members), "record seen", commit, "us" });
            figures.push_back({ "ownership", sizeText(shards, members), "memory", memory, "bytes" });
        }
    }
}

} // namespace kingcuploom::capacity
