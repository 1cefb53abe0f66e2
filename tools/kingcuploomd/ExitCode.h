#pragma once

namespace kingcuploom {

enum ExitCode {
    Success = 0,
    StartFailed = 1,
    WrongUsage = 2,
    BadSettings = 3,
};

} // namespace kingcuploom
