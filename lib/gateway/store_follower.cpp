#include "store_follower.h"

#include "dragonflystair/fleet/reader_pacing.h"
#include "dragonflystair/fleet/store_readers.h"
#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "sleep.h"

#include <chrono>
#include <exception>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

namespace {

/// Interval at which a node that does not read the store checks that its reader is still connected.
constexpr milliseconds passive_poll_interval{100};

} // namespace

store_follower::store_follower(net::executor context, platform::store_client& store,
                               std::string topic, pacing chosen, hooks callbacks,
                               fleet::record_mirror::version_reader version_of)
    : context_(std::move(context)), store_(store), topic_(std::move(topic)), pacing_(chosen),
      on_(std::move(callbacks)), mirror_(std::move(version_of)) {}

net::awaitable<void> store_follower::run() {
    bool followed_peer = false;
    while (!on_.stopping()) {
        synchronised_ = synchronised_ && mirror_.complete();
        if (synchronised_ && on_.passive()) {
            followed_peer = true;
            // The store answers the peer. Its loss as a reader is not an outage of the store.
            reachable_ = true;
            co_await sleep_for(context_, passive_poll_interval);
            continue;
        }
        if (std::exchange(followed_peer, false)) {
            co_await sleep_for(context_, fleet::pause_before_takeover(on_.reader_rank()));
            continue;
        }
        bool succeeded = false;
        // An exception while applying records must not end the reading of later ones.
        try {
            if (synchronised_) {
                succeeded = co_await read();
            } else {
                succeeded = co_await resynchronise();
            }
        } catch (...) {
            net::log_unhandled(topic_, std::current_exception());
        }
        if (!succeeded) {
            co_await sleep_for(context_, fleet::pause_after_failed_read(on_.reader_rank()));
        }
    }
}

net::awaitable<bool> store_follower::resynchronise() {
    const auto asked = support::boot_clock::now();
    const auto newest = co_await store_.newest(topic_);
    if (!newest) {
        set_reachable(false, newest.error().message);
        co_return false;
    }
    set_reachable(true, {});
    if (newest.value().era < mirror_.era()) {
        co_return false;
    }
    synchronised_ = true;
    deliver(mirror_.resynchronise(newest.value()));
    on_.on_page(topic_, mirror_.since(0));
    if (mirror_.complete()) {
        report_complete(asked);
    }
    // A read from the end of the copy would find no records yet.
    co_return newest.value().next >= mirror_.next();
}

net::awaitable<void> store_follower::follow_era() {
    if (synchronised_ && mirror_.era() < store_.era() && !on_.passive()) {
        co_await resynchronise();
    }
}

net::awaitable<bool> store_follower::read() {
    const auto asked = support::boot_clock::now();
    const auto page = co_await store_.read(topic_, mirror_.next(), pacing_.wait);
    if (page) {
        set_reachable(true, {});
        if (page.value().era > mirror_.era()) {
            // The records before the page have changed as well.
            synchronised_ = false;
            co_return true;
        }
        deliver(mirror_.apply(page.value()));
        if (page.value().at_end && page.value().era == mirror_.era() && mirror_.complete()) {
            report_complete(asked);
        }
        if (!page.value().records.empty()) {
            on_.on_page(topic_, page.value());
        }
        if (!page.value().records.empty() && pacing_.interval.count() > 0) {
            co_await sleep_for(context_, pacing_.interval);
        }
        co_return true;
    }
    if (page.error().kind == support::error_kind::gone) {
        support::log_change("records_gone", {{"topic", topic_},
                                             {"next", std::to_string(mirror_.next())},
                                             {"era", std::to_string(store_.era())}});
        synchronised_ = false;
        co_return co_await resynchronise();
    }
    set_reachable(false, page.error().message);
    co_return false;
}

void store_follower::apply(const fleet::keyed_page& page) {
    deliver(mirror_.apply(page));
}

bool store_follower::reads() const {
    return reachable_ && !on_.passive() && silence() <= fleet::store_readers::max_silence;
}

milliseconds store_follower::silence() const {
    return std::chrono::duration_cast<milliseconds>(support::boot_clock::now() - last_answer_);
}

void store_follower::set_reachable(bool reachable, std::string_view reason) {
    if (reachable) {
        last_answer_ = support::boot_clock::now();
    }
    if (reachable == reachable_ && reachability_logged_) {
        return;
    }
    reachability_logged_ = true;
    reachable_ = reachable;
    support::log_change(reachable ? "store_regained" : "store_lost",
                        {{"topic", topic_},
                         {"next", std::to_string(mirror_.next())},
                         {"why", std::string(reason)}});
}

void store_follower::report_complete(support::time_point asked) {
    if (on_.on_complete) {
        on_.on_complete(asked);
    }
}

void store_follower::deliver(const std::vector<fleet::keyed_record>& records) {
    if (!records.empty()) {
        on_.on_records(records);
    }
}

} // namespace dragonflystair::gateway
