#include "log_writer.h"

#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace dragonflystair::node {

log_writer::log_writer(node_context& context, net::log_client& log, std::string stream)
    : context_(context), log_(log), stream_(std::move(stream)) {}

void log_writer::append(ledger::record record, read_back_hook hook,
                        std::function<void()> on_sending) {
    bool start_loop = false;
    {
        const std::lock_guard lock(mutex_);
        committer_.add(std::move(record));
        queued_.push_back({std::move(hook), std::move(on_sending)});
        start_loop = !std::exchange(running_, true);
    }
    if (start_loop) {
        start();
    }
}

void log_writer::start() {
    boost::asio::co_spawn(
        context_.executor, [self = shared_from_this()] { return self->run(); },
        net::exception_logger("log_writer"));
}

net::awaitable<std::optional<ledger::position>>
log_writer::append_and_wait(ledger::record record, std::chrono::milliseconds timeout) {
    using namespace boost::asio::experimental::awaitable_operators;
    using channel = boost::asio::experimental::concurrent_channel<void(boost::system::error_code,
                                                                       ledger::position)>;
    auto result = std::make_shared<channel>(context_.executor, 1);
    append(std::move(record), [result](ledger::position position) {
        result->try_send(boost::system::error_code{}, position);
    });
    auto first = co_await (result->async_receive(boost::asio::use_awaitable) || sleep_for(timeout));
    if (first.index() == 0) {
        co_return std::get<0>(first);
    }
    co_return std::nullopt;
}

void log_writer::on_entry(const ledger::stream_entry& entry) {
    if (entry.writer != context_.incarnation) {
        return;
    }
    std::vector<pending> done;
    {
        const std::lock_guard lock(mutex_);
        const auto found = sent_.find(entry.sequence);
        if (found == sent_.end()) {
            return;
        }
        done = std::move(found->second);
        sent_.erase(found);
    }
    for (std::size_t index = 0; index < done.size(); ++index) {
        if (done[index].hook) {
            done[index].hook(ledger::make_position(entry.offset, index));
        }
    }
}

bool log_writer::idle() const {
    const std::lock_guard lock(mutex_);
    return committer_.waiting() == 0 && !committer_.outstanding();
}

bool log_writer::failing() const {
    const std::lock_guard lock(mutex_);
    return failing_;
}

std::optional<ledger::append_request> log_writer::next_request() {
    std::vector<std::function<void()>> sending_hooks;
    std::optional<ledger::append_request> request;
    {
        const std::lock_guard lock(mutex_);
        request = committer_.next();
        if (!request) {
            running_ = false;
            return std::nullopt;
        }
        if (sent_.contains(request->sequence) || request->sequence <= last_sequence_) {
            return request;
        }
        last_sequence_ = request->sequence;
        auto& group = sent_[request->sequence];
        for (std::size_t count = 0; count < request->payload.size(); ++count) {
            group.push_back(std::move(queued_.front()));
            queued_.pop_front();
            sending_hooks.push_back(group.back().on_sending);
        }
    }
    for (const auto& hook : sending_hooks) {
        if (hook) {
            hook();
        }
    }
    return request;
}

net::awaitable<void> log_writer::run() {
    while (!context_.stopping) {
        auto request = next_request();
        if (!request) {
            co_return;
        }
        const bool appended = co_await send(std::move(*request));
        if (!appended) {
            co_await sleep_for(retry_delay);
        }
    }
}

net::awaitable<bool> log_writer::send(ledger::append_request request) {
    context_.counters.increment("log_appends_total", stream_);
    auto answer = co_await log_.append(stream_, context_.incarnation, request.sequence,
                                       std::move(request.payload), append_timeout);
    const bool appended = answer.has_value();
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        if (appended) {
            committer_.on_appended();
        } else {
            committer_.on_failed();
        }
        changed = std::exchange(failing_, !appended) == appended;
    }
    if (!appended) {
        context_.counters.increment("log_append_retries_total", to_string(answer.error().kind));
    }
    if (changed) {
        support::log_change(appended ? "log_writable" : "log_not_writable", {{"stream", stream_}});
    }
    co_return appended;
}

} // namespace dragonflystair::node
