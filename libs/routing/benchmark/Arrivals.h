#pragma once

#include "Trial.h"
#include "base/Random.h"

namespace kingcuploom::trial {

// One request and its result. Times in milliseconds.
struct Request {
    double arrivedMs = 0;
    double serviceMs = 0;
    double deadlineMs = 0;
    int ingress = 0;
    int team = 0;
    int relays = 0;
    int executions = 0;
    double dispatchedMs = -1;
    double endedMs = -1;
    bool isAnswered = false;
    bool isFailed = false;
    bool isRefused = false;
};

// Generates the requests of a trial in order of arrival. All are drawn before the simulation starts, so that all variants with the same
// seed get the same requests.
std::vector<Request> drawRequests(const Site&, const Variant&, const Load&, Random&);

} // namespace kingcuploom::trial
