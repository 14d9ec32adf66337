#pragma once

#include "dragonflystair/net/awaitable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflystair::net {

/// Runs one context on four threads, as in the node.
class test_context {
public:
    test_context() {
        for (int i = 0; i < 4; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }
    ~test_context() { stop(); }
    test_context(const test_context&) = delete;
    test_context& operator=(const test_context&) = delete;

    executor get() { return context_.get_executor(); }

    void stop() {
        context_.stop();
        for (auto& item : threads_) {
            if (item.joinable()) {
                item.join();
            }
        }
    }

    /// Runs `work` on the context and waits for its result.
    template <class T> T run(awaitable<T> work) {
        auto out = std::make_shared<std::optional<T>>();
        auto task = [](awaitable<T> inner,
                       std::shared_ptr<std::optional<T>> result) -> awaitable<void> {
            result->emplace(co_await std::move(inner));
        };
        boost::asio::co_spawn(context_, task(std::move(work), out), boost::asio::use_future).get();
        return std::move(**out);
    }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_{
        context_.get_executor()};
    std::vector<std::thread> threads_;
};

} // namespace dragonflystair::net
