#pragma once

#include "base/Expected.h"
#include "scheduler/Fleet.h"

#include <functional>
#include <variant>

namespace kingcuploom::node {

enum class FormatError {
    NotReadable,
    MissingField,
    WrongType,
    OutOfRange,
    UnknownKeyword,
};

const char* toString(FormatError);

// Under which host and path jobs of a queue are handed in.
struct QueueRoute {
    std::string host;
    std::string prefix;
    schema::QueuePolicyT policy;
};

// The configuration in force, as a whole.
struct Configuration {
    std::int64_t version = 0;
    std::vector<QueueRoute> routes;
    std::size_t maxBodyBytes = 0;
};

// Nothing is to start in the domain until the key is removed.
struct DomainClosure {
    FailureDomain domain;
};

// What an operator has written and this system does not act on.
struct IgnoredDocument { };

using OperatorDocument = std::variant<IgnoredDocument, Configuration, DomainClosure>;

// How the platform writes what it stores: prefixes of keys, and decoders.
struct Formats {
    std::string workerPrefix;
    std::string operatorPrefix;
    std::function<scheduler::WorkerId(const std::string& key)> parseWorkerId;
    std::function<Expected<scheduler::WorkerEntry, FormatError>(const std::string& key, const std::string& value)> decodeWorker;
    std::function<Expected<OperatorDocument, FormatError>(const std::string& key, const std::string& value)> decodeOperator;
};

} // namespace kingcuploom::node
