#pragma once

namespace kingcuploom {

enum ExitCode {
    Success = 0,
    StartFailed = 1,
    InvalidUsage = 2,
    InvalidSettings = 3,
};

} // namespace kingcuploom
