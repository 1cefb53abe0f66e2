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

// Child processes of one scenario. Their standard output and error go to log files in the scenario's folder. The destructor kills
// every process that is still running, by process id.
class ProcessTable {
public:
    explicit ProcessTable(std::filesystem::path folder);
    ~ProcessTable();
    ProcessTable(const ProcessTable&) = delete;
    ProcessTable& operator=(const ProcessTable&) = delete;

    // Starts the program and waits until its output has a complete line with "<portKey>=N" for every key. Returns the ports in the order
    // of the keys.
    Expected<std::vector<std::uint16_t>, ProcessError> start(const std::string& name, const std::string& program,
        const std::vector<std::string>& args, const std::vector<std::string>& portKeys);

    Expected<void, ProcessError> sendSignal(const std::string& name, int signal);

    // Returns the exit code, or 128 + signal number for a killed process. Empty if the process is unknown or still runs after the time
    // limit.
    std::optional<int> waitForExit(const std::string& name, Milliseconds limit);

    // Sends SIGKILL to all running processes, by process id, and reaps them. Safe to call while another thread waits in a member function.
    void killAll();

    // Returns what the process has written to standard output and error so far.
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
