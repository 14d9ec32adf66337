#pragma once

#include "dragonflystair/net/awaitable.h"

#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace dragonflystair::net {

/// Completion handler of a coroutine that runs on its own: logs an exception that left it.
std::function<void(std::exception_ptr)> exception_logger(std::string_view task);

/// Runs a coroutine on its own. An exception that leaves it ends only it and is logged under the
/// task's name, `event=task_failed`.
void spawn(const executor& context, std::string_view task, std::function<awaitable<void>()> work);

/// Logs an exception that a task did not handle, once each time.
void log_unhandled(std::string_view task, const std::exception_ptr& error);

/// Runs handlers until the context is stopped. An exception that leaves one is logged and the
/// others go on: a message that nobody expected must not end the process.
void run_handlers(boost::asio::io_context& context);

} // namespace dragonflystair::net
