#pragma once

#include "resources/ResourceTable.h"

#include <set>
#include <string>
#include <vector>

namespace kingcuploom::resources {

enum class ProblemCode {
    NameMalformed,
    OutOfRange,
    SpecificationMissing,
    SpecificationNotOfKind,
    TeamUnknown,
    ReasonMissing,
    TextTooLong,
    // Only the system sets the field; it marks a tombstone.
    FieldReserved,
    // Other resources refer to it, or its removal would put an out-of-service failure domain back into service.
    StillInUse,
};

// "name_malformed" and so on; the form used in JSON responses.
const char* toString(ProblemCode);

// One reason why a resource or job is rejected.
struct Problem {
    ProblemCode code = ProblemCode::OutOfRange;
    std::string field;
    std::string value;
    // Describes the accepted values.
    std::string allowed;
};

// The only accepted name of a policy, because placement reads exactly one policy.
inline constexpr char policyName[] = "default";

inline constexpr std::size_t maxNameLength = 63;
inline constexpr std::size_t maxReasonLength = 200;
// A job record with this many tasks stays below the 1 MB limit of a store value.
inline constexpr std::uint32_t maxTasksPerJob = 5000;

// True for 1 to 63 characters of [a-z0-9-] that neither start nor end with '-'.
bool isValidName(std::string_view);

// Return all problems, not only the first; empty when the resource or job is accepted.
std::vector<Problem> checkResource(const schema::ResourceT&, const std::set<TeamName>& teams);
std::vector<Problem> checkJobSpec(const schema::JobSpecT&, const std::set<TeamName>& teams);

// Reasons why a resource cannot be removed: a team must have no services, and a failure domain must be in service.
std::vector<Problem> checkRemoval(const ResourceKey&, const ResourceTable&);

} // namespace kingcuploom::resources
