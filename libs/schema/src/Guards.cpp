#include "schema/Guards.h"

#include <algorithm>
#include <utility>

namespace kingcuploom::schema {

namespace {

    constexpr std::pair<std::string_view, Guard> guardNames[] = {
        { "start-gate", Guard::StartGate },
        { "portion-split", Guard::PortionSplit },
        { "slot-limit", Guard::SlotLimit },
        { "at-most-once", Guard::AtMostOnce },
        { "certain-not-run", Guard::CertainNotRun },
        { "answer-matching", Guard::AnswerMatching },
        { "leaving-targets", Guard::LeavingTargets },
        { "shutdown-drain", Guard::ShutdownDrain },
        { "commit-before-start", Guard::CommitBeforeStart },
        { "stop-before-move", Guard::StopBeforeMove },
        { "resource-limit", Guard::ResourceLimit },
        { "revision-order", Guard::RevisionOrder },
    };

} // namespace

std::optional<Guard> parseGuard(std::string_view name)
{
    const auto* const it = std::ranges::find(guardNames, name, [](const auto& entry) { return entry.first; });
    if (it == std::end(guardNames))
        return std::nullopt;
    return it->second;
}

bool isGuardOn(const SettingsT& settings, Guard guard)
{
    return std::ranges::none_of(settings.test_faults, [&](const auto& name) { return parseGuard(name) == guard; });
}

} // namespace kingcuploom::schema
