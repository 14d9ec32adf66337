#pragma once

#include "dragonflystair/net/awaitable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace dragonflystair::net {

/// Completion token that returns the error code in a tuple instead of throwing it.
inline constexpr auto no_throw = boost::asio::as_tuple(boost::asio::use_awaitable);

template <class T>
awaitable<void> store_result(awaitable<T> work, std::shared_ptr<std::optional<T>> out) {
    out->emplace(co_await std::move(work));
}

/// Runs `work` on `strand`; the awaiting coroutine resumes on its own executor. The result is
/// passed in a shared optional because co_spawn requires default-constructible results.
template <class T> awaitable<T> run_on(executor strand, awaitable<T> work) {
    auto out = std::make_shared<std::optional<T>>();
    auto task = store_result(std::move(work), out);
    co_await boost::asio::co_spawn(strand, std::move(task), boost::asio::use_awaitable);
    co_return std::move(**out);
}

} // namespace dragonflystair::net
