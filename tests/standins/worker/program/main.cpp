#include "WorkerModel.h"
#include "WorkerRoutes.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

using namespace kingcuploom;

namespace {

constexpr char usage[] = R"(Stand-in for a worker VM.

Usage:
  standin_worker [options]

Options:
  --host=ADDRESS       Address to listen on [default: 127.0.0.1].
  --port=N             Port, 0 lets the kernel choose [default: 0].
  --cpu-millis=N       Processors [default: 16000].
  --memory-mb=N        Memory [default: 60000].
  --accelerators=N     Accelerators [default: 0].
  --compare-epochs=N   1 rejects calls with an old epoch, 0 accepts them [default: 1].
)";

constexpr unsigned maxConnections = 256;

sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

long getInteger(const std::map<std::string, docopt::value>& arguments, const char* name) { return arguments.at(name).asLong(); }

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto signals = blockTerminationSignals();
    const ResourceAmounts capacity { CpuMillis(getInteger(arguments, "--cpu-millis")), MemoryMb(getInteger(arguments, "--memory-mb")),
        Accelerators(getInteger(arguments, "--accelerators")) };
    const SystemClock clock;
    testing::WorkerModel model(clock, capacity, getInteger(arguments, "--compare-epochs") != 0);
    http::ServerLimits limits;
    limits.maxConnections = maxConnections;
    http::HttpServer server(limits);
    testing::addWorkerRoutes(server, model);
    const auto port = server.start(arguments.at("--host").asString(), static_cast<std::uint16_t>(getInteger(arguments, "--port")));
    if (!port) {
        std::cerr << "event=cannot_listen\n";
        return 1;
    }
    std::cout << "listening port=" << *port << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server.stop();
    return 0;
}
