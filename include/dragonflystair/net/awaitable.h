#pragma once

#include "dragonflystair/support/error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace dragonflystair::net {

using boost::asio::awaitable;
using executor = boost::asio::any_io_executor;
using support::async_result;

} // namespace dragonflystair::net
