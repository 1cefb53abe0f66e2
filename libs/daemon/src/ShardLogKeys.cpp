#include "ShardLogKeys.h"

#include "ledger/ShardLog.h"

#include <charconv>
#include <string_view>

namespace kingcuploom {

namespace {

    constexpr std::string_view baseSuffix = "/base";
    constexpr std::string_view logPart = "/log/";

} // namespace

std::string shardPrefixOf(const ShardId& shard) { return shardPrefix + shard.value() + "/"; }

std::string shardBaseKey(const ShardId& shard) { return shardPrefix + shard.value() + std::string(baseSuffix); }

std::string shardLogKey(const ShardId& shard, std::size_t key)
{
    return shardPrefix + shard.value() + std::string(logPart) + std::to_string(key);
}

std::optional<ShardLogKey> parseShardLogKey(const std::string& text)
{
    std::string_view rest(text);
    if (!rest.starts_with(shardPrefix))
        return std::nullopt;
    rest.remove_prefix(sizeof(shardPrefix) - 1);
    if (rest.ends_with(baseSuffix))
        return ShardLogKey { ShardId(std::string(rest.substr(0, rest.size() - baseSuffix.size()))), std::nullopt };
    const auto part = rest.rfind(logPart);
    if (part == std::string_view::npos)
        return std::nullopt;
    const auto digits = rest.substr(part + logPart.size());
    std::size_t key = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), key);
    if (ec != std::errc() || end != digits.data() + digits.size() || key >= ledger::shardLogKeys)
        return std::nullopt;
    return ShardLogKey { ShardId(std::string(rest.substr(0, part))), key };
}

} // namespace kingcuploom
