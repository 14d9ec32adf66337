#include "dragonflystair/net/spawn.h"

#include "dragonflystair/support/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <utility>

namespace dragonflystair::net {

void log_unhandled(std::string_view task, const std::exception_ptr& error) {
    std::string reason = "unknown exception";
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& known) {
        reason = known.what();
    } catch (...) { // NOLINT(bugprone-empty-catch): the reason remains "unknown exception".
    }
    support::log_change("task_failed", {{"task", std::string(task)}, {"why", reason}});
}

std::function<void(std::exception_ptr)> exception_logger(std::string_view task) {
    return [task = std::string(task)](const std::exception_ptr& error) {
        if (error) {
            log_unhandled(task, error);
        }
    };
}

void spawn(const executor& context, std::string_view task, std::function<awaitable<void>()> work) {
    boost::asio::co_spawn(context, std::move(work), exception_logger(task));
}

void run_handlers(boost::asio::io_context& context) {
    while (!context.stopped()) {
        try {
            context.run();
        } catch (...) {
            log_unhandled("handler", std::current_exception());
        }
    }
}

} // namespace dragonflystair::net
