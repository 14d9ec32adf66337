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

/// Returns a completion handler for a detached coroutine. It logs an exception that the coroutine
/// does not handle.
std::function<void(std::exception_ptr)> exception_logger(std::string_view task);

/// Starts a detached coroutine. An exception that it does not handle ends only this coroutine and
/// is logged under the task's name, `event=task_failed`.
void spawn(const executor& context, std::string_view task, std::function<awaitable<void>()> work);

/// Logs an exception that a task did not handle, in one line per call.
void log_unhandled(std::string_view task, const std::exception_ptr& error);

/// Runs handlers until the context is stopped. An exception that a handler does not handle is
/// logged and the other handlers continue: an unexpected message must not end the process.
void run_handlers(boost::asio::io_context& context);

} // namespace dragonflystair::net
