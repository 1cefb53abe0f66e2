#pragma once

#include "base/Clock.h"
#include "base/Expected.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kingcuploom::scenario {

enum class ProcessError {
    SpawnFailed,
    ExitedEarly,
    PortNotReported,
    NoSuchProcess,
};

// Processes of one scenario. Standard output and error go to files in the scenario's folder; the destructor ends by id
// whatever still runs.
class ProcessTable {
public:
    explicit ProcessTable(std::filesystem::path folder);
    ~ProcessTable();
    ProcessTable(const ProcessTable&) = delete;
    ProcessTable& operator=(const ProcessTable&) = delete;

    // Starts the program and waits for a line with "<portKey>=N" for each key in its output. Returns the ports.
    Expected<std::vector<std::uint16_t>, ProcessError> start(const std::string& name, const std::string& program,
        const std::vector<std::string>& args, const std::vector<std::string>& portKeys);

    Expected<void, ProcessError> sendSignal(const std::string& name, int signal);

    // Exit code, 128 + signal for a killed process, nothing when it still runs after the time.
    std::optional<int> waitForExit(const std::string& name, Milliseconds timeout);

    // Ends all processes by id. May be called from another thread while one of the other calls waits.
    void killAll();

    // What the process wrote so far.
    std::string output(const std::string& name) const;

    const std::filesystem::path& folder() const { return m_folder; }

private:
    struct Process {
        pid_t pid = -1;
        std::filesystem::path log;
        std::optional<int> exitCode;
    };

    bool tryReap(Process&);
    Process* find(const std::string& name);

    std::filesystem::path m_folder;
    mutable std::recursive_mutex m_mutex;
    std::map<std::string, Process> m_processes;
    int m_startCount = 0;
};

} // namespace kingcuploom::scenario
