#pragma once

#include "OperatorJson.h"
#include "http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

// What operators pass with a request: path, parameters, key and actor.
namespace kingcuploom {

// Without the query.
std::string pathOnly(const std::string& path);

// The part of the path below the prefix; nothing when the path is not below it. "/v1/jobs" gives "".
std::optional<std::string> restBelow(const std::string& path, std::string_view prefix);

bool isEqualInConstantTime(const std::string& given, const std::string& expected);

// A parameter of the query, at least 0; the fallback when it is absent.
Expected<std::int64_t, ApiError> numberParameter(const http::Request&, const std::string& name, std::int64_t fallback);

ApplyMode modeOf(const http::Request&);

ApiError keyRefused();
ApiError noSuchRoute();

// Names of people and programs as they appear in audit events.
Expected<std::string, ApiError> actorOf(const http::Request&);

} // namespace kingcuploom
