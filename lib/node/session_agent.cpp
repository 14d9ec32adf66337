#include "session_agent.h"

#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include "sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

#include <utility>

namespace dragonflystair::node {

namespace {

constexpr std::chrono::milliseconds close_timeout{3'000};
/// Delay before the same sessions are expired again, so that the first record can be read back.
constexpr std::chrono::milliseconds expiry_retry_delay{1'000};

} // namespace

session_agent::session_agent(node_context& context, member_table& members, log_writer& writer,
                             const log_follower& follower, ledger::session_open self,
                             hooks callbacks)
    : context_(context), members_(members), writer_(writer), follower_(follower),
      self_(std::move(self)), hooks_(std::move(callbacks)) {}

void session_agent::start() {
    boost::asio::co_spawn(
        context_.executor, [this] { return run(); }, net::exception_logger("session_agent"));
}

net::awaitable<void> session_agent::run() {
    while (!context_.stopping && !closing_) {
        tick();
        co_await sleep_for(tick_period);
    }
}

void session_agent::tick() {
    if (!follower_.caught_up()) {
        return;
    }
    if (phase_ == phase::open && !members_.own_session()) {
        phase_ = phase::none;
        support::log_change("session_lost");
        hooks_.on_session_lost();
    }
    if (phase_ == phase::none) {
        open();
        return;
    }
    if (phase_ != phase::open) {
        return;
    }
    renew();
    if (!hooks_.draining()) {
        expire_silent_sessions();
        claim_endpoints();
    }
}

void session_agent::open() {
    phase_ = phase::opening;
    members_.begin_new_lease();
    writer_.append(
        self_,
        [this](ledger::position session) {
            members_.on_renewal_read_back();
            phase_ = phase::open;
            support::log_change("session_open", {{"session", fmt::format("{}", session)}});
            hooks_.on_session(session);
        },
        [this] { members_.on_renewal_sending(node_context::now()); });
}

void session_agent::renew() {
    if (renewal_queued_ || !members_.renewal_due(node_context::now())) {
        return;
    }
    const auto own = members_.own_session();
    if (!own) {
        return;
    }
    renewal_queued_ = true;
    writer_.append(
        ledger::session_renew{{*own}},
        [this](ledger::position) {
            renewal_queued_ = false;
            members_.on_renewal_read_back();
        },
        [this] { members_.on_renewal_sending(node_context::now()); });
}

void session_agent::expire_silent_sessions() {
    const auto now = node_context::now();
    if (now - last_expiry_attempt_ < expiry_retry_delay) {
        return;
    }
    // The count is incremented before the follower's state is read, so that `promises_no_takeover`
    // takes account of a record that is about to be enqueued.
    ++pending_expiries_;
    if (!follower_.unreachable()) {
        for (const auto& expiry : members_.sessions_to_expire(now)) {
            last_expiry_attempt_ = now;
            support::log_change("session_expiring",
                                {{"session", fmt::format("{}", expiry.session)}});
            ++pending_expiries_;
            writer_.append(expiry, [this](ledger::position) { --pending_expiries_; });
        }
    }
    --pending_expiries_;
}

bool session_agent::promises_no_takeover() const {
    return follower_.unreachable() && pending_expiries_ == 0;
}

void session_agent::claim_endpoints() {
    const auto endpoints = hooks_.ownables();
    for (const auto& claim : members_.plan_grants(endpoints, node_context::now())) {
        writer_.append(claim);
    }
}

net::awaitable<bool> session_agent::release(membership::ownable_resource endpoint) {
    const auto own = members_.own_session();
    if (!own) {
        co_return true;
    }
    ledger::record record = ledger::release{endpoint.name, *own, members_.successor_for(endpoint)};
    const auto position = co_await writer_.append_and_wait(std::move(record), close_timeout);
    co_return position.has_value();
}

net::awaitable<void> session_agent::close() {
    closing_ = true;
    const auto own = members_.own_session();
    if (!own) {
        co_return;
    }
    ledger::record record = ledger::session_close{*own};
    const auto position = co_await writer_.append_and_wait(std::move(record), close_timeout);
    support::log_change("session_closed", {{"read_back", position ? "yes" : "no"}});
}

} // namespace dragonflystair::node
