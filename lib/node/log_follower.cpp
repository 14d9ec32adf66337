#include "log_follower.h"

#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "sleep.h"

#include <boost/asio/co_spawn.hpp>

#include <utility>

namespace dragonflystair::node {

log_follower::log_follower(node_context& context, net::log_client& log, std::string stream,
                           hooks callbacks)
    : context_(context), log_(log), stream_(std::move(stream)), hooks_(std::move(callbacks)) {}

void log_follower::start() {
    boost::asio::co_spawn(
        context_.executor, [this] { return run(); }, net::exception_logger("log_follower"));
}

void log_follower::on_forwarded(std::span<const ledger::stream_entry> entries) {
    apply_in_order(entries);
}

net::awaitable<void> log_follower::run() {
    while (!context_.stopping) {
        co_await read_page();
    }
}

net::awaitable<void> log_follower::read_page() {
    const auto from = hooks_.next_offset();
    auto page = co_await log_.read(stream_, from, max_page_entries,
                                   caught_up_ ? long_poll_timeout : std::chrono::milliseconds{0});
    if (page.has_value()) {
        set_unreachable(false, {});
        first_retained_offset_ = page.value().first;
        apply_in_order(page.value().entries);
        if (hooks_.next_offset() >= page.value().next && hooks_.complete()) {
            caught_up_ = true;
        }
        co_return;
    }
    if (page.error().kind == support::error_kind::gone) {
        co_await restart_from_first();
        co_return;
    }
    // The callback resets the timers that expire silent sessions. It runs before `unreachable_` is
    // set, since peers that receive the resulting promise rely on the timers having been reset.
    hooks_.unreachable();
    set_unreachable(true, page.error().message);
    co_await sleep_for(retry_delay);
}

net::awaitable<void> log_follower::restart_from_first() {
    context_.counters.increment("log_restarts_total", stream_);
    support::log_change("log_read_restarted", {{"stream", stream_}});
    auto first = co_await log_.first_offset(stream_);
    if (!first.has_value()) {
        co_await sleep_for(retry_delay);
        co_return;
    }
    // The fold buffers these entries until it reads a snapshot that covers the gap.
    auto page =
        co_await log_.read(stream_, first.value(), max_page_entries, std::chrono::milliseconds{0});
    if (page.has_value()) {
        apply_in_order(page.value().entries);
    }
}

void log_follower::apply_in_order(std::span<const ledger::stream_entry> entries) {
    const std::lock_guard lock(apply_mutex_);
    if (!entries.empty()) {
        hooks_.apply(entries);
    }
}

void log_follower::set_unreachable(bool value, const std::string& cause) {
    if (unreachable_.exchange(value) == value) {
        return;
    }
    support::log_change(value ? "log_unreachable" : "log_reachable",
                        {{"stream", stream_}, {"cause", cause}});
}

} // namespace dragonflystair::node
