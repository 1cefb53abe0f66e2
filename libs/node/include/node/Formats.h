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

// Host and path prefix under which jobs are submitted to a queue.
struct QueueRoute {
    std::string host;
    std::string prefix;
    schema::QueuePolicyT policy;
};

// A complete version of the operator configuration.
struct Configuration {
    std::int64_t version = 0;
    std::vector<QueueRoute> routes;
    std::size_t maxBodyBytes = 0;
};

// Blocks new starts in a failure domain until the key is removed.
struct DomainClosure {
    FailureDomain domain;
};

// An operator document that this system does not use.
struct IgnoredDocument { };

using OperatorDocument = std::variant<IgnoredDocument, Configuration, DomainClosure>;

// Key prefixes and decoders of the documents in the platform's store.
struct Formats {
    std::string workerPrefix;
    std::string operatorPrefix;
    std::function<scheduler::WorkerId(const std::string& key)> parseWorkerId;
    std::function<Expected<scheduler::WorkerEntry, FormatError>(const std::string& key, const std::string& value)> decodeWorker;
    std::function<Expected<OperatorDocument, FormatError>(const std::string& key, const std::string& value)> decodeOperator;
};

} // namespace kingcuploom::node
