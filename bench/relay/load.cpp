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
/// Streams open evenly over this time, because a burst of connects would measure the accept queue.
constexpr std::chrono::milliseconds ramp_up{1'000};
/// Delay until memory is read, at which time all streams are open.
constexpr std::chrono::milliseconds memory_read_after{2'000};

net::engine_call make_call(const std::string& model, std::size_t tokens) {
    net::engine_call call;
    call.request_id = support::random_id();
    call.body = {{"model", model}, {"prompt", "a fan with 24 pleats"}, {"max_tokens", tokens}};
    return call;
}

double sum_over_processes(const path& target, double (*usage)(const std::string&)) {
    double sum = 0;
    for (const auto& pid : target.pids) {
        sum += usage(pid);
    }
    return sum;
}

class load_generator {
public:
    load_generator(const path& target, const std::string& model) : target_(target), model_(model) {}

    load_result run(std::size_t streams, std::size_t tokens) {
        expected_ = tokens;
        result_.resident_before_bytes = sum_over_processes(target_, resident_bytes);
        const auto processor_before = sum_over_processes(target_, processor_ns);
        const auto started_at = steady::now();
        for (std::size_t index = 0; index < streams; ++index) {
            const auto delay = ramp_up * index / streams;
            asio::co_spawn(
                io_, [this, delay] { return call_after(delay); }, asio::detached);
        }
        if (streams > 1) {
            asio::co_spawn(
                io_, [this] { return read_memory(); }, asio::detached);
        }
        io_.run();
        result_.elapsed = steady::now() - started_at;
        result_.processor_ns = sum_over_processes(target_, processor_ns) - processor_before;
        return std::move(result_);
    }

    load_result run_sequentially(std::size_t calls) {
        expected_ = 1;
        const auto processor_before = sum_over_processes(target_, processor_ns);
        asio::co_spawn(
            io_, [this, calls] { return call_in_sequence(calls); }, asio::detached);
        io_.run();
        result_.processor_ns = sum_over_processes(target_, processor_ns) - processor_before;
        return std::move(result_);
    }

private:
    net::awaitable<void> call_in_sequence(std::size_t calls) {
        for (std::size_t index = 0; index < calls; ++index) {
            co_await complete_call();
        }
    }

    net::awaitable<void> call_after(std::chrono::milliseconds delay) {
        asio::steady_timer timer(io_, delay);
        co_await timer.async_wait(asio::use_awaitable);
        co_await complete_call();
    }

    net::awaitable<void> read_memory() {
        asio::steady_timer timer(io_, memory_read_after);
        co_await timer.async_wait(asio::use_awaitable);
        result_.resident_open_bytes = sum_over_processes(target_, resident_bytes);
    }

    net::awaitable<void> complete_call() {
        const auto started_at = steady::now();
        auto call = make_call(model_, expected_);
        auto stream = co_await engines_.complete(target_.address, std::move(call), call_timeout);
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
                result_.first_token_ms.push_back(milliseconds(steady::now() - started_at).count());
            }
        }
        result_.tokens += tokens;
        ++(tokens == expected_ ? result_.completed : result_.failed);
    }

    const path& target_;
    const std::string& model_;
    asio::io_context io_{1};
    net::http_client http_{io_.get_executor()};
    net::engine_client engines_{http_};
    std::size_t expected_ = 0;
    load_result result_;
};

} // namespace

load_result run_load(const path& target, const std::string& model, std::size_t streams,
                     std::size_t tokens_each) {
    return load_generator(target, model).run(streams, tokens_each);
}

load_result run_sequence(const path& target, const std::string& model, std::size_t calls) {
    return load_generator(target, model).run_sequentially(calls);
}

} // namespace bench
