#pragma once

#include <exception>

namespace kingcuploom {

// Runs the event loop until it is stopped or has no work left. An exception that leaves a handler is reported and ends only that handler.
// Context is an asio io_context; Report is called with a const std::exception&.
template <typename Context, typename Report> void runEventLoop(Context& context, const Report& report)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            report(error);
        }
    }
}

} // namespace kingcuploom
