#pragma once

#include "base/Ids.h"

#include <optional>
#include <string>

namespace kingcuploom {

inline constexpr char shardPrefix[] = "/kingcuploom/shards/";

// "/kingcuploom/shards/<shard>/", the prefix of all keys of a shard.
std::string shardPrefixOf(const ShardId&);
// "/kingcuploom/shards/<shard>/base".
std::string shardBaseKey(const ShardId&);
// "/kingcuploom/shards/<shard>/log/<key>".
std::string shardLogKey(const ShardId&, std::size_t key);

struct ShardLogKey {
    ShardId shard;
    // Nothing for the base.
    std::optional<std::size_t> key;
};
// Nothing when the key is no key of a shard log.
std::optional<ShardLogKey> parseShardLogKey(const std::string&);

} // namespace kingcuploom
