#pragma once

#include "schema/generated/settings_generated.h"

#include <optional>
#include <string_view>

namespace kingcuploom::schema {

// Rules that a test can switch off one at a time, to show which failure each prevents. See Settings.test_faults.
enum class Guard {
    // Task starts need a recently confirmed configuration and a domain in service.
    StartGate,
    // An unconfirmed owner and its successor share each target's limit.
    PortionSplit,
    // Requests in progress at an executor stay within its slots.
    SlotLimit,
    // A non-idempotent request is not sent again after a byte of it was sent.
    AtMostOnce,
    // "not-run" is reported only when no byte was sent to a target.
    CertainNotRun,
    // Answers are matched to requests by sequence and incarnation.
    AnswerMatching,
    // Targets that are leaving get no new work.
    LeavingTargets,
    // A graceful shutdown waits for requests in progress.
    ShutdownDrain,
    // A task start is sent after its commit.
    CommitBeforeStart,
    // A task moves after its worker confirmed the stop or its lease has lapsed.
    StopBeforeMove,
    // Placement counts the resources that tasks already hold.
    ResourceLimit,
    // An older revision of a resource is not applied.
    RevisionOrder,
};

// The name used in settings, for example "start-gate".
std::optional<Guard> parseGuard(std::string_view name);

bool isGuardOn(const SettingsT&, Guard);

} // namespace kingcuploom::schema
