#include "ProcessTable.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace kingcuploom::scenario {

namespace {

    constexpr Milliseconds startTimeout(10000);
    constexpr Milliseconds pollInterval(5);

    std::string readFile(const std::filesystem::path& path)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    std::optional<std::uint16_t> findPort(const std::string& text, const std::string& key)
    {
        const auto marker = key + "=";
        auto position = text.find(marker);
        while (position != std::string::npos && position > 0 && text[position - 1] != ' ')
            position = text.find(marker, position + 1);
        if (position == std::string::npos || text.find('\n', position) == std::string::npos)
            return std::nullopt;
        std::uint16_t port = 0;
        const auto* begin = text.data() + position + marker.size();
        std::from_chars(begin, text.data() + text.size(), port);
        return port;
    }

    std::vector<char*> toArgv(const std::string& program, const std::vector<std::string>& args)
    {
        std::vector<char*> argv { const_cast<char*>(program.c_str()) };
        std::ranges::transform(args, std::back_inserter(argv), [](const std::string& arg) { return const_cast<char*>(arg.c_str()); });
        argv.push_back(nullptr);
        return argv;
    }

} // namespace

ProcessTable::ProcessTable(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
}

ProcessTable::~ProcessTable() { killAll(); }

ProcessTable::Process* ProcessTable::find(const std::string& name)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_processes.find(name);
    return it == m_processes.end() ? nullptr : &it->second;
}

void ProcessTable::killAll()
{
    const std::scoped_lock lock(m_mutex);
    for (auto& [name, process] : m_processes) {
        if (tryReap(process))
            continue;
        kill(process.pid, SIGKILL);
        int status = 0;
        waitpid(process.pid, &status, 0);
        process.exitCode = 128 + SIGKILL;
    }
}

bool ProcessTable::tryReap(Process& process)
{
    const std::scoped_lock lock(m_mutex);
    if (process.exitCode)
        return true;
    int status = 0;
    if (waitpid(process.pid, &status, WNOHANG) != process.pid)
        return false;
    process.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

Expected<std::vector<std::uint16_t>, ProcessError> ProcessTable::start(
    const std::string& name, const std::string& program, const std::vector<std::string>& args, const std::vector<std::string>& portKeys)
{
    Process process;
    process.log = m_folder / (name + "." + std::to_string(++m_startCount) + ".log");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A socket that a child inherits would stay open after this process closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    auto argv = toArgv(program, args);
    const int ec = posix_spawn(&process.pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0)
        return makeUnexpected(ProcessError::SpawnFailed);
    auto& stored = [&]() -> Process& {
        const std::scoped_lock lock(m_mutex);
        return m_processes[name] = process;
    }();

    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto text = readFile(stored.log);
        std::vector<std::uint16_t> ports;
        for (const auto& key : portKeys) {
            if (const auto port = findPort(text, key))
                ports.push_back(*port);
        }
        if (ports.size() == portKeys.size())
            return ports;
        if (tryReap(stored))
            return makeUnexpected(ProcessError::ExitedEarly);
        std::this_thread::sleep_for(pollInterval);
    }
    return makeUnexpected(ProcessError::PortNotReported);
}

Expected<void, ProcessError> ProcessTable::sendSignal(const std::string& name, int signal)
{
    auto* process = find(name);
    if (!process || tryReap(*process))
        return makeUnexpected(ProcessError::NoSuchProcess);
    kill(process->pid, signal);
    return {};
}

std::optional<int> ProcessTable::waitForExit(const std::string& name, Milliseconds limit)
{
    auto* process = find(name);
    if (!process)
        return std::nullopt;
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!tryReap(*process) && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollInterval);
    return process->exitCode;
}

std::string ProcessTable::output(const std::string& name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_processes.find(name);
    return it == m_processes.end() ? "" : readFile(it->second.log);
}

} // namespace kingcuploom::scenario
