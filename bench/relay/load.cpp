#include "load.h"

#include "dragonflystair/net/engine_client.h"
#include "dragonflystair/support/hash.h"

#include "process_use.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace bench {

namespace {

namespace asio = boost::asio;
using namespace dragonflystair;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds call_timeout{20'000};
/// The streams open evenly over this time, as a burst of connects would measure the accept queue.
constexpr std::chrono::milliseconds ramp{1'000};
/// Memory is read at this time, when all streams are open.
constexpr std::chrono::milliseconds memory_read_after{2'000};

net::engine_call call_of(const std::string& model, std::size_t tokens) {
    net::engine_call call;
    call.request_id = support::random_id();
    call.body = {{"model", model}, {"prompt", "a fan with 24 pleats"}, {"max_tokens", tokens}};
    return call;
}

double sum_of(const path& way, double (*figure)(const std::string&)) {
    double sum = 0;
    for (const auto& pid : way.pids) {
        sum += figure(pid);
    }
    return sum;
}

class loader {
public:
    loader(const path& way, const std::string& model) : way_(way), model_(model) {}

    load_result run(std::size_t streams, std::size_t tokens) {
        expected_ = tokens;
        result_.resident_before_bytes = sum_of(way_, resident_bytes);
        const auto processor = sum_of(way_, processor_ns);
        const auto began = steady::now();
        for (std::size_t index = 0; index < streams; ++index) {
            const auto delay = ramp * index / streams;
            asio::co_spawn(
                io_, [this, delay] { return delayed(delay); }, asio::detached);
        }
        if (streams > 1) {
            asio::co_spawn(
                io_, [this] { return read_memory(); }, asio::detached);
        }
        io_.run();
        result_.elapsed = steady::now() - began;
        result_.processor_ns = sum_of(way_, processor_ns) - processor;
        return std::move(result_);
    }

    load_result run_one_by_one(std::size_t calls) {
        expected_ = 1;
        const auto processor = sum_of(way_, processor_ns);
        asio::co_spawn(
            io_, [this, calls] { return sequence(calls); }, asio::detached);
        io_.run();
        result_.processor_ns = sum_of(way_, processor_ns) - processor;
        return std::move(result_);
    }

private:
    net::awaitable<void> sequence(std::size_t calls) {
        for (std::size_t index = 0; index < calls; ++index) {
            co_await one();
        }
    }

    net::awaitable<void> delayed(std::chrono::milliseconds delay) {
        asio::steady_timer timer(io_, delay);
        co_await timer.async_wait(asio::use_awaitable);
        co_await one();
    }

    net::awaitable<void> read_memory() {
        asio::steady_timer timer(io_, memory_read_after);
        co_await timer.async_wait(asio::use_awaitable);
        result_.resident_open_bytes = sum_of(way_, resident_bytes);
    }

    net::awaitable<void> one() {
        const auto began = steady::now();
        auto call = call_of(model_, expected_);
        auto stream = co_await engines_.complete(way_.address, std::move(call), call_timeout);
        std::size_t tokens = 0;
        while (stream.has_value()) {
            auto event = co_await stream.value()->next(call_timeout);
            if (!event.has_value() || !event.value() || event.value()->data == "[DONE]") {
                break;
            }
            if (event.value()->event == "error") {
                break;
            }
            if (tokens++ == 0) {
                result_.first_token_ms.push_back(milliseconds(steady::now() - began).count());
            }
        }
        result_.tokens += tokens;
        ++(tokens == expected_ ? result_.completed : result_.failed);
    }

    const path& way_;
    const std::string& model_;
    asio::io_context io_{1};
    net::http_client http_{io_.get_executor()};
    net::engine_client engines_{http_};
    std::size_t expected_ = 0;
    load_result result_;
};

} // namespace

load_result run_load(const path& way, const std::string& model, std::size_t streams,
                     std::size_t tokens_each) {
    return loader(way, model).run(streams, tokens_each);
}

load_result run_sequence(const path& way, const std::string& model, std::size_t calls) {
    return loader(way, model).run_one_by_one(calls);
}

} // namespace bench
