#pragma once

#include "base/Ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace kingcuploom {

// The member with the highest hash for the key: removing a member moves only that member's keys.
std::optional<DaemonId> rendezvousOwner(std::string_view key, const std::vector<DaemonId>& members);

// Score of a member for the key: the member with the highest score owns the key, which happens in proportion to the weights.
double rendezvousScore(std::string_view key, const DaemonId& member, double weight);

} // namespace kingcuploom
