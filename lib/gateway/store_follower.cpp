#include "store_follower.h"

#include "dragonflystair/fleet/reader_pacing.h"
#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "pause.h"

#include <exception>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

namespace {

/// Longest wait of a read for a record. A connection that has gone silent is noticed after this
/// and the client's own margin, within the 4 s that the platform calls a node's way back in touch.
constexpr milliseconds longest_wait{2'000};
/// How often a node that does not read looks whether its reader is still there.
constexpr milliseconds passive_pause{100};

} // namespace

store_follower::store_follower(net::executor context, platform::store_client& store,
                               std::string topic, milliseconds pause, hooks callbacks)
    : context_(std::move(context)), store_(store), topic_(std::move(topic)), pause_(pause),
      on_(std::move(callbacks)) {}

net::awaitable<void> store_follower::run() {
    bool followed_peer = false;
    while (!on_.stopping()) {
        if (synchronised_ && on_.passive()) {
            followed_peer = true;
            co_await pause_for(context_, passive_pause);
            continue;
        }
        if (std::exchange(followed_peer, false)) {
            co_await pause_for(context_, fleet::pause_before_takeover(on_.reader_rank()));
            continue;
        }
        bool done = false;
        // A fault in taking records must not end the reading of all later ones.
        try {
            if (synchronised_) {
                done = co_await read();
            } else {
                done = co_await resynchronise();
            }
        } catch (...) {
            net::log_unhandled(topic_, std::current_exception());
        }
        if (!done) {
            co_await pause_for(context_, fleet::pause_after_failed_read(on_.reader_rank()));
        }
    }
}

net::awaitable<bool> store_follower::resynchronise() {
    const auto newest = co_await store_.newest(topic_);
    if (!newest) {
        set_reachable(false, newest.error().message);
        co_return false;
    }
    synchronised_ = true;
    set_reachable(true, {});
    publish(mirror_.resynchronise(newest.value()));
    on_.on_page(topic_, mirror_.since(0));
    co_return true;
}

net::awaitable<bool> store_follower::read() {
    const auto page = co_await store_.read(topic_, mirror_.next(), longest_wait);
    if (page) {
        set_reachable(true, {});
        publish(mirror_.apply(page.value()));
        if (!page.value().records.empty()) {
            on_.on_page(topic_, page.value());
        }
        if (!page.value().records.empty() && pause_.count() > 0) {
            co_await pause_for(context_, pause_);
        }
        co_return true;
    }
    if (page.error().kind == support::error_kind::gone) {
        synchronised_ = false;
        co_return true;
    }
    set_reachable(false, page.error().message);
    co_return false;
}

void store_follower::apply(const fleet::keyed_page& page) {
    publish(mirror_.apply(page));
}

void store_follower::set_reachable(bool reachable, std::string_view why) {
    if (reachable == reachable_ && ever_reached_) {
        return;
    }
    ever_reached_ = true;
    reachable_ = reachable;
    support::log_change(
        reachable ? "store_regained" : "store_lost",
        {{"topic", topic_}, {"next", std::to_string(mirror_.next())}, {"why", std::string(why)}});
}

void store_follower::publish(const std::vector<fleet::keyed_record>& records) {
    if (!records.empty()) {
        on_.on_records(records);
    }
}

} // namespace dragonflystair::gateway
